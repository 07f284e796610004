//! Resolution of callers' requests to routes.

use std::time::Instant;

use declare::{Declarations, Kind, Rank, Service, Target};
use dispatch::{Adapter, ChatCompletions, Field, Plain};
use entry::{Hold, Method, Problem, Rejection, Request, Unsent};
use ledger::{Key, RequestIdentity};
use names::{Attempt, ClientAccount};
use serde::Deserialize;
use units::Span;
use xxhash_rust::xxh3::xxh3_64;

use super::messages::{Messages, parsed_bytes};
use crate::permit_request::BYTES_PER_TOKEN;
use crate::problem;

const CHAT_PATH: &str = "/v1/chat/completions";
const SERVICES_PATH: &str = "/services/";
const KIND_HEADER: &str = "x-turmericrelay-kind";
const DEADLINE_HEADER: &str = "x-turmericrelay-deadline";
const CONVERSATION_HEADER: &str = "x-turmericrelay-conversation";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const RESEND_HEADER: &str = "x-turmericrelay-resend";
const JSON_CONTENT_TYPE: &str = "application/json";

/// Resolved route of a request: its account, service, deadline and the call to the upstream.
pub(crate) struct Route {
    pub(crate) account: ClientAccount,
    pub(crate) service: names::Service,
    pub(crate) kind: names::Kind,
    pub(crate) rank: Rank,
    pub(crate) deadline: Instant,
    pub(crate) target: Target,
    pub(crate) placement_key: u64,
    /// Keys under which crashes of upstreams are recorded: all messages, the last one first, or the
    /// whole request if it has no messages.
    pub(crate) keys: Vec<quarantine::Key>,
    /// Whether the keys are the messages of a conversation.
    pub(crate) is_conversation: bool,
    pub(crate) streams: bool,
    /// Estimated number of prompt tokens that earlier requests of the conversation had; 0 for a new
    /// conversation.
    pub(crate) context_tokens: u64,
    /// Maximum number of answer tokens, for the estimated cost.
    pub(crate) answer_tokens: u64,
    pub(crate) is_idempotent: bool,
    /// Identity under which the request claims its idempotency key, if it has one.
    pub(crate) claim_identity: Option<RequestIdentity>,
    /// Whether the caller states that it has not sent the idempotency key before.
    pub(crate) is_first: bool,
    pub(crate) adapter: &'static dyn Adapter,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) content_type: String,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) body: Vec<u8>,
}

impl Route {
    /// Returns the headers of a call to an upstream. `offset` is the number of content events of
    /// the answer that the caller already has.
    pub(crate) fn upstream_headers(&self, attempt: Attempt, offset: u64) -> Vec<Field> {
        let field = |name: &str, value: String| Field { name: name.to_string(), value };
        let mut headers = self.adapter.headers(attempt, offset);
        headers.push(field("content-type", self.content_type.clone()));
        headers.push(field("x-client-account", self.account.to_string()));
        headers.push(field("x-priority", (self.rank as u32).to_string()));
        if let Some(key) = &self.idempotency_key {
            headers.push(field(IDEMPOTENCY_HEADER, key.clone()));
        }
        headers
    }
}

/// Assumed maximum number of answer tokens if the request sets no maximum.
const DEFAULT_ANSWER_TOKENS: u64 = 256;

/// Fields of a chat-completions request that routing uses.
#[derive(Deserialize)]
struct Chat {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    messages: Messages,
}

fn not_found(code: &str, message: String) -> Problem {
    Problem::rejected(Rejection::NotFound, code, message)
}

fn bad_request(code: &str, message: String) -> Problem {
    Problem::rejected(Rejection::BadRequest, code, message)
}

/// Resolves the route of `request`, which arrived at `now`. The memory of its parsed form is reserved
/// in `hold` while it is parsed.
pub(crate) fn resolve(
    declarations: &Declarations,
    request: Request,
    now: Instant,
    (unsent, hold): (&Unsent, &mut Hold),
) -> Result<Route, Problem> {
    let account = authenticate(declarations, &request)?;
    let path = request.path.split('?').next().unwrap_or_default();
    if path == CHAT_PATH {
        return resolve_chat(declarations, request, account, now, (unsent, hold));
    }
    if path.starts_with(SERVICES_PATH) {
        return resolve_service(declarations, request, account, now);
    }
    let message = format!("path \"{path}\" does not exist; use {CHAT_PATH} or {SERVICES_PATH}NAME");
    Err(not_found("unknown_path", message))
}

fn authenticate(declarations: &Declarations, request: &Request) -> Result<ClientAccount, Problem> {
    let key = request.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
    let account = key.and_then(|key| declarations.account_of_key(key.trim()));
    account.map(|account| account.name.clone()).ok_or_else(|| {
        let message = "the API key is missing or unknown; send it as `Authorization: Bearer KEY`";
        Problem::rejected(Rejection::Unauthorized, "invalid_api_key", message)
    })
}

fn find_kind<'a>(
    declarations: &'a Declarations,
    request: &Request,
    service: &Service,
) -> Result<&'a Kind, Problem> {
    let name = request.header(KIND_HEADER).unwrap_or(service.kind.as_str());
    declarations.kind(name).ok_or_else(|| {
        bad_request("unknown_kind", format!("kind of work \"{name}\" is not declared"))
    })
}

fn request_deadline(request: &Request, kind: &Kind, now: Instant) -> Result<Instant, Problem> {
    let max_duration = kind.deadline.as_duration();
    let Some(text) = request.header(DEADLINE_HEADER) else {
        return Ok(now + max_duration);
    };
    let requested: Span = text
        .parse()
        .map_err(|error: units::Error| bad_request("invalid_deadline", error.to_string()))?;
    Ok(now + requested.as_duration().min(max_duration))
}

fn resolve_chat(
    declarations: &Declarations,
    request: Request,
    account: ClientAccount,
    now: Instant,
    (unsent, hold): (&Unsent, &mut Hold),
) -> Result<Route, Problem> {
    if request.method != Method::Post {
        let message = format!("{CHAT_PATH} takes POST, not {}", request.method);
        return Err(Problem::rejected(Rejection::MethodNotAllowed, "method_not_allowed", message));
    }
    let chat = parse_chat(&request.body, unsent, hold)?;
    let service = declarations.service(&chat.model).ok_or_else(|| {
        not_found("model_not_found", format!("model \"{}\" is not declared", chat.model))
    })?;
    let kind = find_kind(declarations, &request, service)?;
    let conversation = request.header(CONVERSATION_HEADER);
    let placement_key = match conversation {
        Some(conversation) => xxh3_64(conversation.as_bytes()),
        None => chat.messages.conversation_hash,
    };
    Ok(Route {
        account,
        service: service.name.clone(),
        kind: kind.name.clone(),
        rank: kind.rank,
        deadline: request_deadline(&request, kind, now)?,
        target: service.target.clone(),
        placement_key,
        context_tokens: context_tokens(&chat.messages, request.body.len()),
        keys: chat.messages.keys,
        is_conversation: true,
        streams: chat.stream,
        answer_tokens: chat.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS),
        is_idempotent: true,
        claim_identity: None,
        is_first: true,
        adapter: &ChatCompletions,
        content_type: JSON_CONTENT_TYPE.to_string(),
        idempotency_key: None,
        method: Method::Post,
        path: CHAT_PATH.to_string(),
        body: request.body,
    })
}

/// Parses a request once the memory of its parsed form is reserved.
fn parse_chat(body: &[u8], unsent: &Unsent, hold: &mut Hold) -> Result<Chat, Problem> {
    let (held, parsed) = (hold.bytes(), parsed_bytes(body));
    if !hold.may_ever_be(held + parsed) {
        let message = "the body has too many short values; send fewer, or longer ones";
        return Err(Problem::rejected(Rejection::BodyTooLarge, "body_too_complex", message));
    }
    if parsed > 0 && !hold.resize(held + parsed) {
        return Err(problem::no_memory(unsent));
    }
    let chat = serde_json::from_slice(body).map_err(|error| {
        bad_request("invalid_body", format!("body is not a chat-completions request: {error}"))
    });
    hold.resize(held);
    chat
}

/// Returns the key of a whole request of `account`: all that is the same when the caller sends the
/// request again.
fn request_key(account: &ClientAccount, request: &Request) -> quarantine::Key {
    let method: &str = request.method.into();
    quarantine::Key::of_request(&[
        method.as_bytes(),
        request.path.as_bytes(),
        account.as_str().as_bytes(),
        &request.body,
    ])
}

/// Returns the estimated number of tokens in all but the last of `messages`, which have `bytes`
/// bytes in total. Returns 0 if the messages contain no answer of the engine yet.
fn context_tokens(messages: &Messages, bytes: usize) -> u64 {
    let Some(last_bytes) = messages.last_bytes.filter(|_| messages.has_answer) else {
        return 0;
    };
    (bytes as u64).saturating_sub(last_bytes as u64) / BYTES_PER_TOKEN
}

fn resolve_service(
    declarations: &Declarations,
    request: Request,
    account: ClientAccount,
    now: Instant,
) -> Result<Route, Problem> {
    let rest = request.path.strip_prefix(SERVICES_PATH).unwrap_or_default();
    let (name, path) = match rest.split_once('/') {
        Some((name, path)) => (name, format!("/{path}")),
        None => (rest, "/".to_string()),
    };
    let service = declarations.service(name).ok_or_else(|| {
        not_found("service_not_found", format!("service \"{name}\" is not declared"))
    })?;
    let kind = find_kind(declarations, &request, service)?;
    let is_read = matches!(request.method, Method::Get | Method::Head);
    let idempotency_key = request.header(IDEMPOTENCY_HEADER).map(str::to_string);
    let is_idempotent = is_read || service.idempotent;
    let claim_identity = match &idempotency_key {
        Some(key) if !is_idempotent => Some(identity(&account, service, key, &request, &path)?),
        _ => None,
    };
    let is_first = is_first(&request);
    let content_type = request.header("content-type").unwrap_or(JSON_CONTENT_TYPE).to_string();
    Ok(Route {
        keys: vec![request_key(&account, &request)],
        is_conversation: false,
        account,
        service: service.name.clone(),
        kind: kind.name.clone(),
        rank: kind.rank,
        deadline: request_deadline(&request, kind, now)?,
        target: service.target.clone(),
        placement_key: request.id.0,
        streams: false,
        context_tokens: 0,
        answer_tokens: 0,
        is_idempotent,
        claim_identity,
        is_first,
        adapter: &Plain,
        content_type,
        idempotency_key,
        method: request.method,
        path,
        body: request.body,
    })
}

/// Returns whether the caller states that it has not sent the request before.
fn is_first(request: &Request) -> bool {
    request.header(RESEND_HEADER) == Some("false")
}

/// Returns the problem for `request` at an instance that is shutting down.
pub(crate) fn stopping(unsent: &Unsent, request: &Request) -> Problem {
    let is_possible_resend = request.header(IDEMPOTENCY_HEADER).is_some() && !is_first(request);
    problem::stopping(Some(unsent).filter(|_| !is_possible_resend))
}

/// Returns the identity of a request with an idempotency key, for its claim.
fn identity(
    account: &ClientAccount,
    service: &Service,
    key: &str,
    request: &Request,
    path: &str,
) -> Result<RequestIdentity, Problem> {
    let key = Key::try_from(key.to_string())
        .map_err(|error| bad_request("invalid_idempotency_key", error.to_string()))?;
    let method: &str = request.method.into();
    let parts = [method.as_bytes(), path.as_bytes(), &request.body];
    Ok(RequestIdentity::new(account, &service.name, &key, &parts))
}
