//! Announces a stand-in to the instances of its data centre.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use upstream::Announcement;
use ureq::Agent;

/// How long one announcement may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Posts the newest announcement to one instance after another until one takes it, each time first
/// to another one: an instance that is cut off from the others cannot pass it on.
pub(crate) struct Announcer {
    pub(crate) instances: Vec<SocketAddr>,
    pub(crate) token: Option<String>,
    pub(crate) announcement: Arc<Mutex<Announcement>>,
    pub(crate) period: Duration,
    pub(crate) stopped: Arc<AtomicBool>,
}

impl Announcer {
    /// Announces until stopped.
    pub(crate) fn run(self) {
        let agent = agent();
        let mut first = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            self.announce(&agent, first);
            first += 1;
            std::thread::park_timeout(self.period);
        }
        self.announce(&agent, first);
    }

    /// Announces once, starting with the instance `first`, counted in circles.
    fn announce(&self, agent: &Agent, first: usize) {
        let announcement = self.announcement.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let body = serde_json::to_string(&announcement).unwrap_or_default();
        for offset in 0..self.instances.len() {
            let index = (first + offset) % self.instances.len();
            let url = format!("http://{}/announce", self.instances[index]);
            let mut request = agent.post(&url).header("content-type", "application/json");
            if let Some(token) = &self.token {
                request = request.header("authorization", format!("Bearer {token}"));
            }
            match request.send(body.as_str()) {
                Ok(response) if response.status().is_success() => return,
                Ok(response) => log::warn!("{url} answered {}", response.status()),
                Err(error) => log::debug!("{url}: {error}"),
            }
        }
    }
}

/// Calls instances, which may take [`CALL_TIMEOUT`] to answer.
pub(crate) fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .new_agent()
}
