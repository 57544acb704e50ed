//! Client protocols without I/O: encoding of requests and decoding of responses.

pub mod resp;

/// A request to encode.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Unique id of this attempt.
    pub id: &'a str,
    /// Name of its class.
    pub class: &'a str,
    /// Name of its tenant.
    pub tenant: &'a str,
    /// Its key.
    pub key: &'a str,
    /// The value to write; `None` for a read.
    pub value: Option<&'a [u8]>,
    /// The idempotency key of a deduplicated request.
    pub idempotency_key: Option<&'a str>,
    /// The time left until its deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether an earlier attempt of the request was sent.
    pub is_retry: bool,
}

/// A response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// A value or a receipt, with its length in bytes.
    Served(usize),
    /// Rejected without effect, with the Retry-After in milliseconds, if given.
    Rejected(Option<u64>),
    /// Any other response.
    Failed,
}

/// The received bytes are not a valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidResponse;

/// The client side of a protocol on one connection. Responses arrive in the order of the requests.
pub trait Codec {
    /// Appends an encoded request to `out`.
    fn encode(&mut self, request: &Request<'_>, out: &mut Vec<u8>);
    /// Feeds received bytes.
    fn feed(&mut self, bytes: &[u8]);
    /// Returns the next complete response, or `None` if more bytes are needed.
    fn next_response(&mut self) -> Result<Option<Response>, InvalidResponse>;
}

/// A client protocol.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// RESP2 with `OBJ.GET` and `OBJ.SET`.
    #[default]
    Resp,
}

impl Protocol {
    /// Returns a codec for a new connection.
    pub fn codec(self) -> Box<dyn Codec> {
        match self {
            Protocol::Resp => Box::<resp::Resp>::default(),
        }
    }
}

impl std::str::FromStr for Protocol {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "resp" => Ok(Protocol::Resp),
            other => Err(format!("unknown protocol '{other}', expected resp")),
        }
    }
}
