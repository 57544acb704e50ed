//! Conversion of log records to JSON.

use super::*;

#[test]
fn json_record_contains_common_fields_message_and_key_values() {
    let pairs = [("version", Value::from(41u64)), ("all", Value::from(true)), ("name", Value::from("x"))];
    let json = to_json(
        &Record::builder()
            .args(format_args!("discovery: version 41, \"quoted\"\nand broken"))
            .level(log::Level::Info)
            .key_values(&pairs)
            .build(),
        "n3",
        12.5,
    );
    let text = json.to_string();
    assert!(!text.contains('\n'), "the record spans several lines: {text}");
    assert_eq!(
        json,
        serde_json::json!({"ts": 12.5, "level": "INFO", "name": "n3", "version": 41, "all": true,
            "msg": "discovery: version 41, \"quoted\"\nand broken"})
    );
    assert_eq!("json".parse(), Ok(Format::Json));
    assert!("xml"
        .parse::<Format>()
        .is_err_and(|e| e.to_string().contains("xml") && e.to_string().contains("json")));
}
