//! The deployment's client protocol: RESP2 with `OBJ.GET` and `OBJ.SET`.

use super::{Codec, InvalidResponse, Request, Response};
use notchdoor_proxy::wire::resp::{write_command, Reader, Value};

/// Maximum length of a value in a response.
const MAX_VALUE_BYTES: usize = 2 << 20;

/// Codec of the deployment's client protocol.
pub struct Resp {
    reader: Reader,
}

impl Default for Resp {
    fn default() -> Self {
        Resp { reader: Reader::with_most(MAX_VALUE_BYTES) }
    }
}

impl Codec for Resp {
    fn encode(&mut self, request: &Request<'_>, out: &mut Vec<u8>) {
        let mut info = format!("c={},t={},d={}", request.class, request.tenant, request.deadline_ms);
        if let Some(key) = request.idempotency_key {
            info += &format!(",k={key}");
        }
        if request.is_retry {
            info += ",r=1";
        }
        let words = [request.key.as_bytes(), request.id.as_bytes(), info.as_bytes()];
        match request.value {
            None => write_command(out, &[b"OBJ.GET", words[0], words[1], words[2]]),
            Some(value) => write_command(out, &[b"OBJ.SET", words[0], words[1], words[2], value]),
        }
    }

    fn feed(&mut self, bytes: &[u8]) {
        self.reader.feed(bytes);
    }

    fn next_response(&mut self) -> Result<Option<Response>, InvalidResponse> {
        let Some(value) = self.reader.next_value().map_err(|_| InvalidResponse)? else { return Ok(None) };
        Ok(Some(match value {
            Value::Bulk(Some(bytes)) => Response::Served(bytes.len()),
            Value::Array(Some(items)) => match items.first() {
                Some(Value::Bulk(Some(bytes))) => Response::Served(bytes.len()),
                _ => Response::Failed,
            },
            Value::Error(line) => match line.strip_prefix(b"BUSY") {
                Some([]) => Response::Rejected(None),
                Some([b' ', ms @ ..]) => {
                    Response::Rejected(std::str::from_utf8(ms).ok().and_then(|ms| ms.trim().parse().ok()))
                }
                _ => Response::Failed,
            },
            _ => Response::Failed,
        }))
    }
}
