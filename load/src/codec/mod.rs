//! What clients speak, without sockets: requests to bytes, bytes to answers.

pub mod resp;

/// A request, as a codec writes it.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Its id, new for every try.
    pub id: &'a str,
    /// Its class.
    pub class: &'a str,
    /// Its tenant.
    pub tenant: &'a str,
    /// Its key.
    pub key: &'a str,
    /// What it writes, if it does.
    pub value: Option<&'a [u8]>,
    /// The idempotency key of a keyed write.
    pub once: Option<&'a str>,
    /// How long the client waits, in milliseconds.
    pub wait_ms: u64,
    /// Whether it is tried again.
    pub again: bool,
}

/// An answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A value or a receipt, of so many bytes.
    Served(usize),
    /// Refused: trying again is harmless, after so many milliseconds where it says.
    Refused(Option<u64>),
    /// Failed.
    Failed,
}

/// What comes back is not what the codec speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Garbled;

/// One connection's protocol, on the client's side. Answers come in the order of the requests.
pub trait Codec {
    /// Appends a request.
    fn encode(&mut self, ask: &Ask<'_>, out: &mut Vec<u8>);
    /// Takes what has come in.
    fn feed(&mut self, bytes: &[u8]);
    /// The next whole answer, `None` while there is none.
    fn next_answer(&mut self) -> Result<Option<Answer>, Garbled>;
}

/// The protocols, by name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// RESP2 with OBJ.GET and OBJ.SET.
    #[default]
    Resp,
}

impl Protocol {
    /// A new connection's codec.
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
            other => Err(format!("no protocol is called '{other}'; there is resp")),
        }
    }
}
