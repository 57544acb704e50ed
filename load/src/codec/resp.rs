//! The deployment's client protocol: RESP2 with `OBJ.GET` and `OBJ.SET`.

use super::{Answer, Ask, Codec, Garbled};
use notchdoor_proxy::wire::resp::{write_command, Reader, Value};

/// An answer's value may be as long.
const MOST_VALUE: usize = 2 << 20;

/// See the module.
pub struct Resp {
    reader: Reader,
}

impl Default for Resp {
    fn default() -> Self {
        Resp { reader: Reader::with_most(MOST_VALUE) }
    }
}

impl Codec for Resp {
    fn encode(&mut self, ask: &Ask<'_>, out: &mut Vec<u8>) {
        let mut info = format!("c={},t={},d={}", ask.class, ask.tenant, ask.wait_ms);
        if let Some(once) = ask.once {
            info += &format!(",k={once}");
        }
        if ask.again {
            info += ",r=1";
        }
        let words = [ask.key.as_bytes(), ask.id.as_bytes(), info.as_bytes()];
        match ask.value {
            None => write_command(out, &[b"OBJ.GET", words[0], words[1], words[2]]),
            Some(value) => write_command(out, &[b"OBJ.SET", words[0], words[1], words[2], value]),
        }
    }

    fn feed(&mut self, bytes: &[u8]) {
        self.reader.feed(bytes);
    }

    fn next_answer(&mut self) -> Result<Option<Answer>, Garbled> {
        let Some(value) = self.reader.next_value().map_err(|_| Garbled)? else { return Ok(None) };
        Ok(Some(match value {
            Value::Bulk(Some(bytes)) => Answer::Served(bytes.len()),
            Value::Array(Some(items)) => match items.first() {
                Some(Value::Bulk(Some(bytes))) => Answer::Served(bytes.len()),
                _ => Answer::Failed,
            },
            Value::Error(line) => match line.strip_prefix(b"BUSY") {
                Some([]) => Answer::Refused(None),
                Some([b' ', ms @ ..]) => {
                    Answer::Refused(std::str::from_utf8(ms).ok().and_then(|ms| ms.trim().parse().ok()))
                }
                _ => Answer::Failed,
            },
            _ => Answer::Failed,
        }))
    }
}
