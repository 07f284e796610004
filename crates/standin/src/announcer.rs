//! Announces a stand-in to the instances of its data centre over HTTP.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use upstream::Announcement;
use ureq::Agent;

/// Time within which an instance must respond.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Posts the current announcement to one instance after another until one accepts it.
///
/// Each announcement starts with the next instance, because an instance in a network partition
/// cannot pass announcements on to the others.
pub(crate) struct Announcer {
    pub(crate) instances: Vec<SocketAddr>,
    pub(crate) token: Option<String>,
    pub(crate) announcement: Arc<Mutex<Announcement>>,
    pub(crate) period: Duration,
    pub(crate) is_stopped: Arc<AtomicBool>,
    /// Whether the stand-in has crashed and has not returned yet.
    pub(crate) is_down: Arc<AtomicBool>,
}

impl Announcer {
    /// Announces once per period until `is_stopped` is set, then once more.
    pub(crate) fn run(self) {
        let agent = instance_agent();
        let mut first_index = 0;
        while !self.is_stopped.load(Ordering::Relaxed) {
            if !self.is_down.load(Ordering::Relaxed) {
                self.announce(&agent, first_index);
            }
            first_index += 1;
            std::thread::park_timeout(self.period);
        }
        self.announce(&agent, first_index);
    }

    /// Announces once, starting with the instance at `first_index` modulo the number of instances.
    fn announce(&self, agent: &Agent, first_index: usize) {
        let announcement = self.announcement.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let body = serde_json::to_string(&announcement).unwrap_or_default();
        for offset in 0..self.instances.len() {
            let index = (first_index + offset) % self.instances.len();
            let url = format!("http://{}/announce", self.instances[index]);
            let mut request = agent.post(&url).header("content-type", "application/json");
            if let Some(token) = &self.token {
                request = request.header("authorization", format!("Bearer {token}"));
            }
            match request.send(body.as_str()) {
                Ok(response) if response.status().is_success() => return,
                Ok(response) => log::warn!(
                    "{url} rejected the announcement with status {}; trying the next instance",
                    response.status()
                ),
                Err(error) => log::debug!(
                    "cannot post the announcement to {url}: {error}; trying the next instance"
                ),
            }
        }
    }
}

/// Creates an HTTP client for calls to instances, with a timeout of [`CALL_TIMEOUT`].
pub(crate) fn instance_agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .new_agent()
}
