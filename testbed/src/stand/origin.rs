//! The HTTP side of the origin: requests in, answers out.

use super::{Garbage, Info};

/// The longest head, and the longest body: values hold 64 KiB.
const MOST_HEAD: usize = 16 * 1024;
const MOST_BODY: usize = 1 << 20;
/// Header lines.
const MOST_HEADERS: usize = 64;

/// What the origin, or the registry, is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path, with what follows a question mark.
    pub path: String,
    /// `X-Call-Id`.
    pub id: Option<String>,
    /// `X-Call-Info`.
    pub info: Option<Info>,
    /// The body.
    pub body: Vec<u8>,
    /// The connection can take another request behind this one.
    pub keeps: bool,
}

/// Reads a connection's requests.
#[derive(Default)]
pub struct Requests(Vec<u8>);

impl Requests {
    /// Takes what has come in.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    /// The next whole request, `None` while there is none.
    pub fn next_request(&mut self) -> Result<Option<Request>, Garbage> {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let begins = match head.parse(&self.0).map_err(|_| Garbage)? {
            httparse::Status::Complete(n) => n,
            httparse::Status::Partial if self.0.len() > MOST_HEAD => return Err(Garbage),
            httparse::Status::Partial => return Ok(None),
        };
        let header = |name: &str| {
            let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
            found.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
        };
        let length = match header("content-length") {
            None => 0,
            Some(n) => n.parse::<usize>().ok().filter(|n| *n <= MOST_BODY).ok_or(Garbage)?,
        };
        let keeps = !header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
        let Some(body) = self.0.get(begins..begins + length) else { return Ok(None) };
        let request = Request {
            method: head.method.unwrap_or_default().to_owned(),
            path: head.path.unwrap_or_default().to_owned(),
            id: header("x-call-id").map(str::to_owned),
            info: header("x-call-info").and_then(Info::parse),
            body: body.to_vec(),
            keeps,
        };
        self.0.drain(..begins + length);
        Ok(Some(request))
    }
}

/// What the origin says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Say {
    /// 200 with the value or the receipt.
    Done(Vec<u8>),
    /// 500: it may have run.
    Failed,
    /// 503 with `X-Rejected: 1`: it never ran.
    Rejected,
    /// 400: no request that a proxy should send.
    Wrong,
}

impl Say {
    /// Appends it as bytes, with the load report, if any.
    pub fn write(&self, report: Option<&str>, out: &mut Vec<u8>) {
        let (status, extra, body): (&str, &str, &[u8]) = match self {
            Say::Done(body) => ("200 OK", "", body),
            Say::Failed => ("500 Internal Server Error", "", b""),
            Say::Rejected => ("503 Service Unavailable", "X-Rejected: 1\r\n", b""),
            Say::Wrong => ("400 Bad Request", "", b""),
        };
        let report = report.map_or(String::new(), |r| format!("X-Load-Report: {r}\r\n"));
        let head = format!("HTTP/1.1 {status}\r\n{extra}{report}Content-Length: {}\r\n\r\n", body.len());
        out.extend_from_slice(head.as_bytes());
        out.extend_from_slice(body);
    }
}
