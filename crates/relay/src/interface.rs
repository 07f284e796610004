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
pub struct PromptPart {
    /// Names the part; equal parts of different prompts have the same.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

/// What a request tells of its prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order; the last one belongs to the request or its session alone.
    pub parts: Vec<PromptPart>,
    /// Tokens that the answer may have.
    pub output_tokens: u64,
}

/// What a request says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The caller's id of the request, for logs.
    pub id: String,
    /// The host that it names, in lower case.
    pub host: String,
    /// The API key, if one is presented.
    pub api_key: Option<String>,
    /// How long the caller will wait.
    pub time_left: Option<Duration>,
    /// The prompt, if it tells.
    pub prompt: Option<Prompt>,
    /// The last event of the stream that the caller has.
    pub last_event_id: Option<String>,
}

/// One attempt, as the upstream has to know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptMetadata {
    /// The upstream that is meant.
    pub upstream: Upstream,
    /// How long the answer is waited for.
    pub time_left: Option<Duration>,
    /// The account that the request comes from.
    pub account: Option<ClientAccount>,
    /// Its rank; 0 goes first.
    pub rank: u8,
    /// Where the upstream may fetch context of the prompt that it has not read.
    pub context_source: Option<SocketAddr>,
    /// The last event of the stream that the caller has.
    pub last_event_id: Option<String>,
    /// Bytes of the body.
    pub body_bytes: usize,
}

/// What the head of an upstream's answer says beside its status.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The upstream did not run the request.
    pub has_not_run: bool,
    /// Another upstream than the one meant is at this address.
    pub is_wrong_upstream: bool,
    /// The upstream will close the connection since it leaves, or for another reason.
    pub closes_connection: bool,
    /// What the upstream says of its load.
    pub load: Option<Report>,
}

/// How callers speak.
pub trait CallerProtocol: Form {
    /// Reads what a request says of itself.
    ///
    /// # Errors
    ///
    /// The refusal, when the request is malformed.
    fn parse_request(&self, request: &Request) -> Result<RequestMetadata, Problem>;
}

/// How upstreams are called.
pub trait UpstreamProtocol {
    /// Request line and headers of a call, with the empty line behind them.
    fn request_head(&self, request: &Request, leg: &AttemptMetadata) -> Vec<u8>;

    /// By what the answer to the request is known.
    fn expected_echo(&self, request: &Request) -> Option<Echo>;

    /// Reads the head of an answer.
    fn parse_response_head(&self, status: u16, headers: &[Field]) -> ResponseMetadata;

    /// The headers of an answer that the caller gets.
    fn response_headers(&self, headers: Vec<Field>) -> Vec<Header>;
}

/// What upstreams and operators ask of a control instance.
#[derive(Debug, Clone)]
pub enum ControlRequest {
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
    SubmitDocument(Vec<u8>),
    /// An operator asks for the newest document.
    ReadDocument {
        /// How often instances have sent this question on.
        hops: u32,
    },
}

/// How upstreams announce themselves and operators send documents.
pub trait ControlProtocol: Form {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// The refusal, when the request is not one of these or malformed.
    fn parse_request(&self, request: Request) -> Result<ControlRequest, Problem>;

    /// The acknowledgement of an announcement, a leave or an offer.
    fn acknowledgement(&self) -> Reply;

    /// Status and headers of the answer that carries a document.
    fn document_head(&self) -> (Status, Vec<Header>);

    /// The answer that sends a question for the document on to the control instance at `address`,
    /// which has been sent on `hops` times with it.
    fn redirect(&self, address: SocketAddr, hops: u32) -> Reply;
}

/// How documents are written.
pub trait DocumentFormat {
    /// Reads a document.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn parse(&self, text: &[u8]) -> Result<Draft, String>;
}

/// All interfaces of an instance.
#[derive(Clone)]
pub struct Interface {
    /// How callers speak.
    pub callers: Rc<dyn CallerProtocol>,
    /// How upstreams are called.
    pub upstreams: Rc<dyn UpstreamProtocol>,
    /// How upstreams announce themselves and operators send documents.
    pub control: Rc<dyn ControlProtocol>,
    /// How documents are written.
    pub documents: Rc<dyn DocumentFormat>,
}
