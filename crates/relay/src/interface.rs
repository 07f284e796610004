//! Protocols of callers, upstreams and operators.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use catalogue::Draft;
use dispatch::{CorrelationHeader, Field};
use entry::{Form, Header, Problem, Reply, Request, Status};
use forward::{InvalidRate, Report, RequestRate};
use names::{ClientAccount, DataCentre, Upstream};
use roster::Announcement;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part. Equal parts of different prompts have the same identifier.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Description of a prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order. Only the last part is specific to the request or its session.
    pub parts: Vec<PromptPart>,
    /// Maximum number of tokens in the response.
    pub output_tokens: u64,
}

/// Metadata of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Request identifier of the caller, for logs.
    pub id: String,
    /// Requested host in lower case.
    pub host: String,
    /// API key, if one is presented.
    pub api_key: Option<String>,
    /// Time that the caller will wait for the response.
    pub time_left: Option<Duration>,
    /// Prompt, if the request describes it.
    pub prompt: Option<Prompt>,
    /// Identifier of the last event of the stream that the caller has received.
    pub last_event_id: Option<String>,
}

/// Metadata of one attempt for the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptMetadata {
    /// Upstream that the attempt is meant for.
    pub upstream: Upstream,
    /// Time that remains for the response.
    pub time_left: Option<Duration>,
    /// Account of the caller.
    pub account: Option<ClientAccount>,
    /// Rank of the request. Rank 0 is served first.
    pub rank: u8,
    /// Address of an engine from which the upstream may fetch context that it has not processed.
    pub context_source: Option<SocketAddr>,
    /// Identifier of the last event of the stream that the caller has received.
    pub last_event_id: Option<String>,
    /// Length of the body in bytes.
    pub body_bytes: usize,
}

/// Metadata in the head of an upstream's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Whether the upstream reports that it did not run the request.
    pub has_not_run: bool,
    /// Whether callers take the status for the promise that the request did not run.
    pub promises_not_run: bool,
    /// Whether the response counts as an answer to the caller only with a signature, which it lacks.
    pub lacks_signature: bool,
    /// Whether another upstream answered at the address.
    pub is_wrong_upstream: bool,
    /// Whether the upstream will close the connection, because it leaves or for another reason.
    pub closes_connection: bool,
    /// Whether the upstream leaves, and wants no new requests.
    pub is_leaving: bool,
    /// Time for which the upstream wants no requests, if it refuses a request for that reason.
    pub retry_after: Option<Duration>,
    /// Load that the upstream reports.
    pub load: Option<Report>,
    /// Rate of requests that the upstream takes from all instances together, if it names one.
    pub rate_limit: Option<Result<RequestRate, InvalidRate>>,
}

/// Protocol between callers and the instance.
pub trait CallerProtocol: Form {
    /// Parses the metadata of a request.
    ///
    /// # Errors
    ///
    /// The refusal, if the request is malformed.
    fn parse_request(&self, request: &Request) -> Result<RequestMetadata, Problem>;
}

/// Protocol between the instance and upstreams.
pub trait UpstreamProtocol {
    /// Returns the request line and the headers of an attempt, including the empty line at the end.
    fn request_head(&self, request: &Request, attempt: &AttemptMetadata) -> Vec<u8>;

    /// Returns the header by which the response to the request is recognised.
    fn expected_echo(&self, request: &Request) -> Option<CorrelationHeader>;

    /// Parses the head of a response.
    fn parse_response_head(&self, status: u16, headers: &[Field]) -> ResponseMetadata;

    /// Returns the response headers that are forwarded to the caller.
    fn response_headers(&self, headers: Vec<Field>) -> Vec<Header>;

    /// Returns the names, in lower case, of the headers that only this protocol gives to responses.
    fn head_fields(&self) -> &'static [&'static str];

    /// Returns the fields that events have beside those of the published format.
    fn event_fields(&self) -> &[&str];
}

/// Request of an upstream or an operator to a control instance.
#[derive(Debug, Clone)]
pub enum ControlRequest {
    /// An upstream announces itself.
    Announce(Announcement),
    /// An upstream leaves.
    Leave {
        /// Upstream that leaves.
        upstream: Upstream,
        /// Start of the run that ends, if the upstream reports it.
        born: Option<u64>,
    },
    /// An operator orders that upstreams of a data centre get no new requests, or withdraws that.
    Evacuate {
        /// Data centre that the order is about.
        data_centre: DataCentre,
        /// Whether the data centre is evacuated from now on.
        is_evacuated: bool,
    },
    /// An operator submits a document.
    SubmitDocument(Vec<u8>),
    /// An operator reads the newest document.
    ReadDocument {
        /// Number of times that instances have redirected the request.
        hops: u32,
    },
}

/// Protocol between the control instance, upstreams and operators.
pub trait ControlProtocol: Form {
    /// Parses a request.
    ///
    /// # Errors
    ///
    /// The refusal, if the request is malformed or unknown.
    fn parse_request(&self, request: Request) -> Result<ControlRequest, Problem>;

    /// Returns the acknowledgement of an announcement, a leave, an evacuation order or a submitted
    /// document.
    fn acknowledgement(&self) -> Reply;

    /// Returns the status and the headers of the response that carries a document.
    fn document_head(&self) -> (Status, Vec<Header>);

    /// Returns the response that redirects a read of the document to the control instance at
    /// `address`. `hops` is the number of redirects including this one.
    fn redirect(&self, address: SocketAddr, hops: u32) -> Reply;
}

/// Format of documents.
pub trait DocumentFormat {
    /// Parses a document.
    ///
    /// # Errors
    ///
    /// A description of the first fault in the document.
    fn parse(&self, text: &[u8]) -> Result<Draft, String>;
}

/// All protocols of an instance.
#[derive(Clone)]
pub struct Interface {
    /// Protocol of callers.
    pub callers: Rc<dyn CallerProtocol>,
    /// Protocol of upstreams.
    pub upstreams: Rc<dyn UpstreamProtocol>,
    /// Protocol of announcements and of operators.
    pub control: Rc<dyn ControlProtocol>,
    /// Format of documents.
    pub documents: Rc<dyn DocumentFormat>,
}
