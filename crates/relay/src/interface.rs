//! The interfaces that callers, upstreams and operators speak.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use catalogue::Draft;
use dispatch::{Echo, Field};
use entry::{Form, Header, Problem, Reply, Request, Status};
use forward::Report;
use names::{ClientAccount, Upstream};
use roster::Announcement;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Names the part; equal parts of different prompts have the same.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

/// What a request tells of its prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order; the last one belongs to the request or its session alone.
    pub parts: Vec<Part>,
    /// Tokens that the answer may have.
    pub output_tokens: u64,
}

/// What a request says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ask {
    /// The caller's id of the request, for logs.
    pub id: String,
    /// The host that it names, in lower case.
    pub host: String,
    /// The API key, if one is presented.
    pub key: Option<String>,
    /// How long the caller will wait.
    pub time_left: Option<Duration>,
    /// The prompt, if it tells.
    pub prompt: Option<Prompt>,
    /// The last event of the stream that the caller has.
    pub after: Option<String>,
}

/// One attempt, as the upstream has to know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leg {
    /// The upstream that is meant.
    pub upstream: Upstream,
    /// How long the answer is waited for.
    pub time_left: Option<Duration>,
    /// The account that the request comes from.
    pub account: Option<ClientAccount>,
    /// Its rank; 0 goes first.
    pub rank: u8,
    /// Where the upstream may fetch context of the prompt that it has not read.
    pub source: Option<SocketAddr>,
    /// The last event of the stream that the caller has.
    pub after: Option<String>,
    /// Bytes of the body.
    pub body_bytes: usize,
}

/// What the head of an upstream's answer says beside its status.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// The upstream did not run the request.
    pub has_not_run: bool,
    /// Another upstream than the one meant is at this address.
    pub is_other: bool,
    /// The upstream will close the connection since it leaves, or for another reason.
    pub closes: bool,
    /// What the upstream says of its load.
    pub load: Option<Report>,
}

/// How callers speak.
pub trait Callers: Form {
    /// Reads what a request says of itself.
    ///
    /// # Errors
    ///
    /// The refusal, when the request is malformed.
    fn read(&self, request: &Request) -> Result<Ask, Problem>;
}

/// How upstreams are called.
pub trait Upstreams {
    /// Request line and headers of a call, with the empty line behind them.
    fn head(&self, request: &Request, leg: &Leg) -> Vec<u8>;

    /// By what the answer to the request is known.
    fn echo(&self, request: &Request) -> Option<Echo>;

    /// Reads the head of an answer.
    fn read(&self, status: u16, headers: &[Field]) -> Answer;

    /// The headers of an answer that the caller gets.
    fn reply_headers(&self, headers: Vec<Field>) -> Vec<Header>;
}

/// What upstreams and operators ask of a control instance.
#[derive(Debug, Clone)]
pub enum Order {
    /// An upstream announces itself.
    Announce(Announcement),
    /// An upstream leaves.
    Leave {
        /// The upstream.
        upstream: Upstream,
        /// Start of its run, if it says.
        born: Option<u64>,
    },
    /// An operator offers a document.
    Offer(Vec<u8>),
    /// An operator asks for the newest document.
    Read {
        /// How often instances have sent this question on.
        hops: u32,
    },
}

/// How upstreams announce themselves and operators send documents.
pub trait Control: Form {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// The refusal, when the request is not one of these or malformed.
    fn read(&self, request: Request) -> Result<Order, Problem>;

    /// The acknowledgement of an announcement, a leave or an offer.
    fn acknowledgement(&self) -> Reply;

    /// Status and headers of the answer that carries a document.
    fn document(&self) -> (Status, Vec<Header>);

    /// The answer that sends a question for the document on to the control instance at `address`,
    /// which has been sent on `hops` times with it.
    fn elsewhere(&self, address: SocketAddr, hops: u32) -> Reply;
}

/// How documents are written.
pub trait Documents {
    /// Reads a document.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn read(&self, text: &[u8]) -> Result<Draft, String>;
}

/// All interfaces of an instance.
#[derive(Clone)]
pub struct Interface {
    /// How callers speak.
    pub callers: Rc<dyn Callers>,
    /// How upstreams are called.
    pub upstreams: Rc<dyn Upstreams>,
    /// How upstreams announce themselves and operators send documents.
    pub control: Rc<dyn Control>,
    /// How documents are written.
    pub documents: Rc<dyn Documents>,
}
