use super::*;

fn bulk(text: &str) -> Value {
    Value::Bulk(Some(text.into()))
}

/// Parses `bytes`, fed in two parts that are split at `at`.
fn parse_split(bytes: &[u8], at: usize) -> Result<Vec<Value>, Malformed> {
    let (mut reader, mut values) = (Reader::default(), Vec::new());
    for part in [&bytes[..at], &bytes[at..]] {
        reader.feed(part);
        while let Some(value) = reader.next_value()? {
            values.push(value);
        }
    }
    Ok(values)
}

#[test]
fn parses_values_split_at_any_byte() {
    let array = |v: Vec<Value>| Value::Array(Some(v));
    let cases: Vec<(&[u8], Vec<Value>)> = vec![
        (b"+OK\r\n", vec![Value::Simple(b"OK".into())]),
        (b"-BUSY 120\r\n", vec![Value::Error(b"BUSY 120".into())]),
        (b":-7\r\n", vec![Value::Int(-7)]),
        (b"$0\r\n\r\n", vec![bulk("")]),
        (b"$4\r\na\r\nb\r\n", vec![bulk("a\r\nb")]),
        (b"$-1\r\n", vec![Value::Bulk(None)]),
        (b"*-1\r\n", vec![Value::Array(None)]),
        (b"*0\r\n+x\r\n", vec![array(vec![]), Value::Simple(b"x".into())]),
        (b"*3\r\n$2\r\nhi\r\n$-1\r\n*1\r\n:1\r\n", {
            vec![array(vec![bulk("hi"), Value::Bulk(None), array(vec![Value::Int(1)])])]
        }),
        (b"*2\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\nc\r\n", { vec![array(vec![bulk("a"), bulk("b")]), bulk("c")] }),
        (b"$10\r\nabc", vec![]),
    ];
    for (bytes, values) in cases {
        for at in 0..=bytes.len() {
            assert_eq!(parse_split(bytes, at).as_ref(), Ok(&values), "{bytes:?} split at {at}");
        }
    }
}

#[test]
fn malformed_and_oversized_values_are_rejected_before_they_are_complete() {
    let long_line = [b"+".as_slice(), &[b'x'; MAX_LINE_BYTES + 8]].concat();
    let cases: Vec<(&[u8], &str)> = vec![
        (b"GET /", "unknown type"),
        (b"\r\n", "unknown type"),
        (b"+a\n", "line does not end in CR LF"),
        (b"$x\r\n", "not a number"),
        (b"$+1\r\n", "not a number"),
        (b"$-2\r\n", "negative length"),
        (b"*99999999\r\n", "too large"),
        (b"$65537\r\n", "too large"),
        (b"$1\r\nabc", "string does not end in CR LF"),
        (b"*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n", "nested too deep"),
        (b"*2\r\n$1\r\na\r\nQ", "unknown type"),
        (&long_line, "line too long"),
    ];
    for (bytes, text) in cases {
        assert_eq!(parse_split(bytes, 0), Err(Malformed(text)), "{bytes:?}");
    }
    let mut many = b"*64\r\n".to_vec();
    for _ in 0..3 {
        write_bulk(&mut many, &[0; MAX_VALUE / 2]);
    }
    assert_eq!(
        parse_split(&many, 0),
        Err(Malformed("message too large")),
        "many strings that are each small"
    );
}
