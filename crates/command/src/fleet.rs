//! Client for the operators' ports of a fleet, and the flags that commands which use it share.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use bpaf::{Parser, construct, long};
use declare::{Declarations, Order, Revision};
use rand::RngExt;
use serde_json::Value;
use ureq::Agent;

use crate::Error;
use crate::table::print_json;

/// Timeout of a request to one instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which an order that has no outcome is no longer resent.
const ORDER_RETRY_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay before an order is resent after no instance returned its outcome.
const RESEND_DELAY: Duration = Duration::from_millis(500);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Operators' address that is used if no `--instance` is given: the default port on this machine.
const DEFAULT_INSTANCE: SocketAddr =
    SocketAddr::V4(std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 8081));

/// Client that sends requests to the operators' ports of the given instances.
#[derive(Debug, Clone)]
pub(crate) struct FleetClient {
    instances: Vec<SocketAddr>,
    token_file: Option<PathBuf>,
}

/// Returns the parser of the flags that choose the instances and the operator's token.
pub(crate) fn flags() -> impl Parser<FleetClient> {
    let instances = instance_flag()
        .many()
        .map(|addresses| if addresses.is_empty() { vec![DEFAULT_INSTANCE] } else { addresses });
    let token_file = token_flag();
    construct!(FleetClient { instances, token_file })
}

/// Returns the parser of the same flags for a command that uses a fleet only if an instance is given.
pub(crate) fn explicit_flags() -> impl Parser<FleetClient> {
    let instances = instance_flag().some("give the address of an instance");
    let token_file = token_flag();
    construct!(FleetClient { instances, token_file })
}

fn instance_flag() -> impl Parser<SocketAddr> {
    long("instance")
        .help("Operators' address of an instance; repeat the flag to try several in turn")
        .argument::<SocketAddr>("ADDRESS")
}

fn token_flag() -> impl Parser<Option<PathBuf>> {
    long("token-file")
        .help("File that contains the operator's token")
        .argument::<PathBuf>("FILE")
        .optional()
}

/// Returns the parser of the flag `--order`.
pub(crate) fn order_flag() -> impl Parser<Option<Order>> {
    long("order")
        .help("Id of the order; the same id makes it safe to resend the order")
        .argument::<Order>("ID")
        .optional()
}

/// Returns the parser of the flag `--json`.
pub(crate) fn json_flag() -> impl Parser<bool> {
    long("json").help("Print the output as JSON").switch()
}

/// Returns the given order id, or a random one if none is given. The id is printed before the order
/// is sent, so that the order can be resent after a failure. With `json`, the id goes to standard
/// error, because standard output contains only the response.
pub(crate) fn resolve_order(given: Option<&Order>, json: bool) -> Result<Order, Error> {
    let order = match given {
        Some(order) => order.clone(),
        None => format!("{:016x}", rand::rng().random::<u64>()).parse()?,
    };
    if json {
        eprintln!("order {order}");
    } else {
        println!("order {order}");
    }
    Ok(order)
}

/// Prints the revision that an order created, or the complete response with `json`.
pub(crate) fn print_revision(response: &Value, json: bool) {
    if json {
        print_json(response);
    } else {
        println!("revision {}", response["revision"]);
    }
}

/// Outcome of a request to one instance.
enum RequestOutcome {
    /// The instance answered with this body.
    Success(Value),
    /// The instance is unreachable or temporarily unavailable; another instance may answer.
    Retryable(Error),
    /// The instance refused the request, so no other instance is tried.
    Permanent(Error),
}

impl FleetClient {
    /// Sends a GET request for `path` to the instances in turn, and returns the body of the first
    /// answer.
    pub(crate) fn get(&self, path: &str) -> Result<Value, Error> {
        let token = self.read_token()?;
        self.try_instances(|address| {
            let mut request = http_agent().get(format!("http://{address}{path}"));
            if let Some(token) = &token {
                request = request.header("authorization", format!("Bearer {token}"));
            }
            request.call()
        })
    }

    /// Sends a POST request to the instances in turn, and returns the body of the first answer.
    pub(crate) fn post(&self, path: &str, body: &str) -> Result<Value, Error> {
        let token = self.read_token()?;
        self.try_instances(|address| {
            let mut request = http_agent().post(format!("http://{address}{path}"));
            if let Some(token) = &token {
                request = request.header("authorization", format!("Bearer {token}"));
            }
            request.send(body)
        })
    }

    /// Posts an order to the instances in turn, and resends it until an instance returns its
    /// outcome or the retry timeout ends. The order id in `path` makes it safe to resend.
    pub(crate) fn send_order(&self, path: &str, body: &str) -> Result<Value, Error> {
        let deadline = Instant::now() + ORDER_RETRY_TIMEOUT;
        loop {
            match self.post(path, body) {
                Err(
                    error @ (Error::Unreachable { .. } | Error::Refused { status: 503 | 504, .. }),
                ) if Instant::now() < deadline => {
                    eprintln!("{error}; resending the order");
                    std::thread::sleep(RESEND_DELAY);
                }
                outcome => return outcome,
            }
        }
    }

    /// Returns what `declarations` would change in the newest revision, in words.
    pub(crate) fn compare(&self, declarations: &Declarations) -> Result<Value, Error> {
        self.post("/declarations/diff", &declarations.to_yaml()?)
    }

    /// Returns the newest revision in force at the first instance that answers; 0 if there is none.
    pub(crate) fn current_revision(&self) -> Result<Revision, Error> {
        let response = self.get("/declarations")?;
        Ok(Revision(response["revision"].as_u64().unwrap_or(0)))
    }

    /// Reads the operator's token from its file; none if no file is given.
    fn read_token(&self) -> Result<Option<String>, Error> {
        let Some(path) = &self.token_file else {
            return Ok(None);
        };
        let content = std::fs::read_to_string(path).map_err(|error| Error::Invalid {
            path: path.display().to_string(),
            reason: error.to_string(),
        })?;
        Ok(Some(content.trim().to_string()))
    }

    /// Calls `send` with the address of each instance in turn until one gives a definite answer.
    /// Returns the last error if none does.
    fn try_instances<F>(&self, send: F) -> Result<Value, Error>
    where
        F: Fn(SocketAddr) -> Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    {
        let mut last_error =
            Error::Unreachable { reason: "no instance address is given".to_string() };
        for address in &self.instances {
            match classify_response(*address, send(*address)) {
                RequestOutcome::Success(value) => return Ok(value),
                RequestOutcome::Retryable(error) => last_error = error,
                RequestOutcome::Permanent(error) => return Err(error),
            }
        }
        Err(last_error)
    }
}

fn http_agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build()
        .new_agent()
}

/// Classifies the result of a request to the instance at `address`.
fn classify_response(
    address: SocketAddr,
    result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> RequestOutcome {
    let unreachable = |error: ureq::Error| {
        RequestOutcome::Retryable(Error::Unreachable { reason: format!("{address}: {error}") })
    };
    let mut response = match result {
        Ok(response) => response,
        Err(error) => return unreachable(error),
    };
    let status = response.status();
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_string();
    let text = match body {
        Ok(text) => text,
        Err(error) => return unreachable(error),
    };
    let value: Value = serde_json::from_str(&text).unwrap_or(Value::String(text));
    if status.is_success() {
        return RequestOutcome::Success(value);
    }
    let details = &value["error"];
    let error = Error::Refused {
        status: status.as_u16(),
        code: details["code"].as_str().unwrap_or("error").to_string(),
        message: details["message"]
            .as_str()
            .unwrap_or("the instance refused the request without a reason")
            .to_string(),
    };
    match status.as_u16() {
        503 | 504 => RequestOutcome::Retryable(error),
        _ => RequestOutcome::Permanent(error),
    }
}
