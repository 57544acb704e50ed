//! Parses HTTP/1.1 admin requests and encodes the replies. Each connection carries one request.

/// Limits on the request head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_HEADERS: usize = 64;
/// Maximum body size, chunk framing included. A body contains only a backend name.
const MAX_BODY_BYTES: usize = 4 * 1024;

/// An admin request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// `GET /_ready`: reports whether this process accepts clients.
    Ready,
    /// `GET /_vars`: returns the metrics as JSON.
    Vars,
    /// `POST /_cache-nodes/detach`: drains the backend with this name.
    Detach(String),
    /// `POST /_cache-nodes/attach`: ends the drain of the backend with this name.
    Attach(String),
}

/// Why a request was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The request is not valid HTTP, or its body is not a backend name. Contains the reply text.
    Malformed(&'static str),
    /// The path is unknown.
    NotFound,
    /// The path requires another method, which is given.
    MethodNotAllowed(&'static str),
    /// The head exceeds its size limit or has too many headers.
    HeadTooLarge,
    /// The body exceeds its size limit.
    BodyTooLarge,
}

/// The reply to an admin request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Body. Sent as JSON if it starts with `{`, else as plain text.
    pub body: String,
    /// Value of the `Allow` header, set for status 405.
    pub allow: Option<&'static str>,
}

impl Reply {
    /// A plain-text reply; a line feed is appended to `text`.
    pub fn text(status: u16, text: &str) -> Self {
        Reply { status, body: format!("{text}\n"), allow: None }
    }

    /// Encodes the reply as an HTTP/1.1 response that closes the connection.
    pub fn encode(&self) -> Vec<u8> {
        let reason = match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            409 => "Conflict",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            500 => "Internal Server Error",
            _ => "Service Unavailable",
        };
        let content_type =
            if self.body.starts_with('{') { "application/json" } else { "text/plain; charset=utf-8" };
        let allow = self.allow.map(|method| format!("Allow: {method}\r\n")).unwrap_or_default();
        format!(
            "HTTP/1.1 {} {reason}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n{allow}Cache-Control: no-store\r\n\
             Connection: close\r\n\r\n{}",
            self.status,
            self.body.len(),
            self.body
        )
        .into_bytes()
    }
}

impl From<RequestError> for Reply {
    fn from(error: RequestError) -> Self {
        match error {
            RequestError::Malformed(why) => Reply::text(400, why),
            RequestError::NotFound => Reply::text(404, "no such path"),
            RequestError::MethodNotAllowed(allow) => {
                Reply { allow: Some(allow), ..Reply::text(405, &format!("this path takes {allow}")) }
            }
            RequestError::HeadTooLarge => Reply::text(431, "the head is too long"),
            RequestError::BodyTooLarge => Reply::text(413, "the body is too long"),
        }
    }
}

#[derive(Clone, Copy)]
enum Path {
    Ready,
    Vars,
    Detach,
    Attach,
}

impl Path {
    fn parse(target: &str) -> Result<Self, RequestError> {
        match target.split(['?', '#']).next().unwrap_or_default() {
            "/_ready" => Ok(Path::Ready),
            "/_vars" => Ok(Path::Vars),
            "/_cache-nodes/detach" => Ok(Path::Detach),
            "/_cache-nodes/attach" => Ok(Path::Attach),
            _ => Err(RequestError::NotFound),
        }
    }

    fn method(self) -> &'static str {
        match self {
            Path::Ready | Path::Vars => "GET",
            Path::Detach | Path::Attach => "POST",
        }
    }
}

#[derive(Clone, Copy)]
enum Body {
    Length(usize),
    Chunked,
}

/// Incremental parser of one admin request.
#[derive(Default)]
pub struct RequestReader {
    buffer: Vec<u8>,
    /// The parsed head: path, body framing and the offset of the body.
    head: Option<(Path, Body, usize)>,
}

impl RequestReader {
    /// Feeds received bytes. Returns the request or the error once it is known; bytes after it are ignored.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Result<AdminRequest, RequestError>> {
        // Bounds the buffer against callers that never stop sending.
        let room = (MAX_HEAD_BYTES + MAX_BODY_BYTES).saturating_sub(self.buffer.len());
        self.buffer.extend_from_slice(bytes.get(..room.min(bytes.len())).unwrap_or_default());
        self.try_parse().transpose()
    }

    fn try_parse(&mut self) -> Result<Option<AdminRequest>, RequestError> {
        let (path, body, body_start) = match self.head {
            Some(head) => head,
            None => match self.parse_head()? {
                Some(head) => *self.head.insert(head),
                None => return Ok(None),
            },
        };
        let backend = match path {
            Path::Ready => return Ok(Some(AdminRequest::Ready)),
            Path::Vars => return Ok(Some(AdminRequest::Vars)),
            Path::Detach | Path::Attach => {
                let rest = self.buffer.get(body_start..).unwrap_or_default();
                let bytes = match body {
                    Body::Length(n) => rest.get(..n).map(<[u8]>::to_vec),
                    Body::Chunked => decode_chunked(rest)?,
                };
                match bytes {
                    Some(bytes) => parse_backend_name(&bytes)?,
                    None if rest.len() > MAX_BODY_BYTES => return Err(RequestError::BodyTooLarge),
                    None => return Ok(None),
                }
            }
        };
        Ok(Some(if matches!(path, Path::Detach) {
            AdminRequest::Detach(backend)
        } else {
            AdminRequest::Attach(backend)
        }))
    }

    fn parse_head(&self) -> Result<Option<(Path, Body, usize)>, RequestError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let at = match head.parse(&self.buffer) {
            Ok(httparse::Status::Complete(at)) if at <= MAX_HEAD_BYTES => at,
            Ok(httparse::Status::Partial) if self.buffer.len() <= MAX_HEAD_BYTES => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadTooLarge),
            Err(_) => return Err(RequestError::Malformed("not HTTP/1.1")),
        };
        let path = Path::parse(head.path.unwrap_or_default())?;
        if head.method != Some(path.method()) {
            return Err(RequestError::MethodNotAllowed(path.method()));
        }
        let (mut length, mut chunked) = (None, false);
        for header in head.headers.iter() {
            let value = std::str::from_utf8(header.value).unwrap_or_default().trim();
            if header.name.eq_ignore_ascii_case("content-length") {
                let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
                // A number that overflows exceeds the limit as well.
                let n = value.parse().unwrap_or(usize::MAX);
                if !digits || length.is_some_and(|l| l != n) {
                    return Err(RequestError::Malformed("Content-Length makes no sense"));
                }
                length = Some(n);
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                if !value.eq_ignore_ascii_case("chunked") {
                    return Err(RequestError::Malformed("Transfer-Encoding is not known"));
                }
                chunked = true;
            }
        }
        match (length, chunked) {
            (Some(_), true) => Err(RequestError::Malformed("Content-Length makes no sense")),
            (Some(n), _) if n > MAX_BODY_BYTES => Err(RequestError::BodyTooLarge),
            (length, false) => Ok(Some((path, Body::Length(length.unwrap_or(0)), at))),
            (None, true) => Ok(Some((path, Body::Chunked, at))),
        }
    }
}

/// Decodes a chunked body; `None` while it is incomplete.
fn decode_chunked(mut rest: &[u8]) -> Result<Option<Vec<u8>>, RequestError> {
    const MALFORMED: RequestError = RequestError::Malformed("the body's pieces make no sense");
    let mut body = Vec::new();
    loop {
        let (at, size) = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((at, size))) => (at, usize::try_from(size).map_err(|_| MALFORMED)?),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(MALFORMED),
        };
        if size == 0 {
            // Trailers are ignored.
            return Ok(Some(body));
        }
        if size > MAX_BODY_BYTES {
            return Err(RequestError::BodyTooLarge);
        }
        rest = rest.get(at..).unwrap_or_default();
        let Some(piece) = rest.get(..size) else { return Ok(None) };
        body.extend_from_slice(piece);
        match rest.get(size..size + 2) {
            Some(b"\r\n") => rest = rest.get(size + 2..).unwrap_or_default(),
            Some(_) => return Err(MALFORMED),
            None => return Ok(None),
        }
    }
}

/// Parses a body that contains one backend name.
fn parse_backend_name(body: &[u8]) -> Result<String, RequestError> {
    const MALFORMED: RequestError = RequestError::Malformed("the body is to be the name of one cache worker");
    let text = std::str::from_utf8(body).map_err(|_| MALFORMED)?.trim();
    let is_valid = !text.is_empty() && !text.contains(|c: char| c.is_whitespace() || c.is_control());
    is_valid.then(|| text.to_owned()).ok_or(MALFORMED)
}

#[cfg(test)]
mod tests;
