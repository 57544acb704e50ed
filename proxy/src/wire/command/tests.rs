use super::*;

fn command(words: &[&str]) -> Value {
    Value::Array(Some(words.iter().map(|w| Value::Bulk(Some(w.as_bytes().to_vec()))).collect()))
}

#[test]
fn parses_a_request_and_replaces_only_its_deadline() {
    let Ok(ClientCommand::Request(request)) =
        parse(command(&["OBJ.SET", "k1", "i1", "c=put,d=480,t=acme,k=5c", "v"]))
    else {
        panic!("not parsed as a request")
    };
    assert_eq!((request.class.as_str(), request.tenant.as_str(), request.wait), ("put", "acme", 480_000));
    assert_eq!(request.value.as_deref(), Some(b"v".as_slice()));
    assert_eq!(request.info_with_deadline(99_900), b"c=put,d=99,t=acme,k=5c");
    assert_eq!(request.info_with_deadline(0), b"c=put,d=1,t=acme,k=5c");
    assert_eq!(parse(command(&["ping"])), Ok(ClientCommand::Ping));
    let accented = parse(command(&["OBJ.GET", "k", "i", "c=read,t=Chávez,d=1"]));
    assert!(matches!(accented, Ok(ClientCommand::Request(request)) if request.tenant == "Chávez"));
}

#[test]
fn invalid_commands_return_the_matching_error() {
    let cases: &[(Value, &str)] = &[
        (Value::Int(1), "a command is an array of strings"),
        (Value::Array(None), "a command is an array of strings"),
        (Value::Array(Some(vec![Value::Bulk(None)])), "a command is an array of strings"),
        (Value::Array(Some(vec![Value::Array(Some(vec![]))])), "a command is an array of strings"),
        (command(&[]), "empty command"),
        (command(&["FLUSHALL"]), "unknown command"),
        (command(&["OBJ.GET", "k", "i"]), "wrong number of arguments"),
        (command(&["OBJ.GET", "k", "i", "d=1", "v"]), "wrong number of arguments"),
        (command(&["OBJ.SET", "k", "i", "d=1"]), "wrong number of arguments"),
        (command(&["OBJ.GET", "k\r\nX-A: b", "i", "d=1"]), "key, id and list must be plain words"),
        (command(&["OBJ.GET", "", "i", "d=1"]), "key, id and list must be plain words"),
        (command(&["OBJ.GET", "k", "i", "d"]), "the list must hold names and values"),
        (command(&["OBJ.GET", "k", "i", "c=read"]), "d is missing"),
        (command(&["OBJ.GET", "k", "i", "d=inf"]), "d is not a number"),
        (command(&["OBJ.GET", "k", "i", "d=-5"]), "d is not a number"),
        (command(&["OBJ.GET", "k", "i", "d=1e9"]), "d is not a number"),
        (command(&["OBJ.GET", "k", "i", "d=99999999999999999999999"]), "d is too long"),
        (command(&["OBJ.GET", "k", "i", "d=0"]), "d is not a number"),
        (command(&["OBJ.GET", "k", "i", "d="]), "d is not a number"),
    ];
    for (value, text) in cases {
        let result = parse(value.clone()).map_err(|error| error.to_string());
        assert_eq!(result, Err((*text).to_owned()), "{value:?}");
    }
}
