//! The operators' HTTP of a fleet, as commands use it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use bpaf::{Parser, construct, long};
use declare::{Order, Revision};
use rand::RngExt;
use serde_json::Value;
use ureq::Agent;

use crate::Error;
use crate::table::print_json;

/// How long one instance may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long an order is resent until it has an answer.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause after every instance was asked in vain.
const RESEND_PAUSE: Duration = Duration::from_millis(500);

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Operators' address of an instance on this machine.
const DEFAULT_INSTANCE: SocketAddr =
    SocketAddr::V4(std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 8081));

/// Instances of the fleet, and the token to show them.
#[derive(Debug, Clone)]
pub(crate) struct Fleet {
    instances: Vec<SocketAddr>,
    token_file: Option<PathBuf>,
}

/// The flags that choose the fleet.
pub(crate) fn flags() -> impl Parser<Fleet> {
    let instances = long("instance")
        .help("Operators' address of an instance; give several to try them in turn")
        .argument::<SocketAddr>("ADDRESS")
        .many()
        .map(|given| if given.is_empty() { vec![DEFAULT_INSTANCE] } else { given });
    let token_file = long("token-file")
        .help("File that holds the operator's token")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Fleet { instances, token_file })
}

/// The flag that names an order.
pub(crate) fn order_flag() -> impl Parser<Option<Order>> {
    long("order")
        .help("Id of the order; the same id makes it safe to resend")
        .argument::<Order>("ID")
        .optional()
}

/// The flag that prints JSON.
pub(crate) fn json_flag() -> impl Parser<bool> {
    long("json").help("Print JSON").switch()
}

/// The id given, or a new one; printed first, so that the order can be resent. With `json`, it goes
/// to standard error, as standard output carries the answer alone.
pub(crate) fn announce_order(given: Option<&Order>, json: bool) -> Result<Order, Error> {
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

/// Prints the answer to an order: the revision that it made.
pub(crate) fn print_answer(answer: &Value, json: bool) {
    if json {
        print_json(answer);
    } else {
        println!("revision {}", answer["revision"]);
    }
}

/// What to do after an answer, or the lack of one.
enum Next {
    Done(Value),
    Resend(Error),
    GiveUp(Error),
}

impl Fleet {
    /// Reads `path` from the first instance that answers.
    pub(crate) fn get(&self, path: &str) -> Result<Value, Error> {
        let token = self.token()?;
        self.try_each(|address| {
            let mut request = agent().get(format!("http://{address}{path}"));
            if let Some(token) = &token {
                request = request.header("authorization", format!("Bearer {token}"));
            }
            request.call()
        })
    }

    /// Posts to the first instance that answers.
    pub(crate) fn post(&self, path: &str, body: &str) -> Result<Value, Error> {
        let token = self.token()?;
        self.try_each(|address| {
            let mut request = agent().post(format!("http://{address}{path}"));
            if let Some(token) = &token {
                request = request.header("authorization", format!("Bearer {token}"));
            }
            request.send(body)
        })
    }

    /// Posts an order, and resends it through the instances in turn until one tells its outcome.
    pub(crate) fn order(&self, path: &str, body: &str) -> Result<Value, Error> {
        let deadline = Instant::now() + ORDER_TIMEOUT;
        loop {
            match self.post(path, body) {
                Err(
                    error @ (Error::Unreachable { .. } | Error::Refused { status: 503 | 504, .. }),
                ) if Instant::now() < deadline => {
                    eprintln!("{error}; resending the order");
                    std::thread::sleep(RESEND_PAUSE);
                }
                outcome => return outcome,
            }
        }
    }

    /// The newest revision in force at the instance that answers.
    pub(crate) fn revision(&self) -> Result<Revision, Error> {
        let page = self.get("/declarations")?;
        Ok(Revision(page["revision"].as_u64().unwrap_or(0)))
    }

    fn token(&self) -> Result<Option<String>, Error> {
        let Some(path) = &self.token_file else {
            return Ok(None);
        };
        let text = std::fs::read_to_string(path).map_err(|error| Error::Invalid {
            path: path.display().to_string(),
            problem: error.to_string(),
        })?;
        Ok(Some(text.trim().to_string()))
    }

    fn try_each<F>(&self, ask: F) -> Result<Value, Error>
    where
        F: Fn(SocketAddr) -> Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    {
        let mut last = Error::Unreachable { problem: "no instance is named".to_string() };
        for address in &self.instances {
            match judge(*address, ask(*address)) {
                Next::Done(value) => return Ok(value),
                Next::Resend(error) => last = error,
                Next::GiveUp(error) => return Err(error),
            }
        }
        Err(last)
    }
}

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .new_agent()
}

fn judge(
    address: SocketAddr,
    answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Next {
    let unreachable = |error: ureq::Error| {
        Next::Resend(Error::Unreachable { problem: format!("{address}: {error}") })
    };
    let mut response = match answer {
        Ok(response) => response,
        Err(error) => return unreachable(error),
    };
    let status = response.status();
    let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_string();
    let text = match body {
        Ok(text) => text,
        Err(error) => return unreachable(error),
    };
    let value: Value = serde_json::from_str(&text).unwrap_or(Value::String(text));
    if status.is_success() {
        return Next::Done(value);
    }
    let problem = &value["error"];
    let error = Error::Refused {
        status: status.as_u16(),
        code: problem["code"].as_str().unwrap_or("error").to_string(),
        message: problem["message"].as_str().unwrap_or("the instance refused").to_string(),
    };
    match status.as_u16() {
        503 | 504 => Next::Resend(error),
        _ => Next::GiveUp(error),
    }
}
