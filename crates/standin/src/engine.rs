//! Stand-in for a model engine, with continuous batching over slots, a prefix cache and priorities.

use std::collections::VecDeque;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use entry::{Event, Header, Method, Problem, Rejection, Reply, Request, Status, Unsent};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use stakker::{CX, Fwd, after};
use upstream::{Announcement, Load};

use crate::job::{Job, Sending};
use crate::prefix::Cache;
use crate::replies::{json_reply, json_reply_with, send_truncated};
use crate::reporter::Report;
use crate::service::{attempt_echo, refusal, server_error, set_fault};
use crate::{Context, Fault, Options, Order, Orders, Prompt, Task};

/// Priority of requests without one; smaller values are more urgent.
const DEFAULT_PRIORITY: u32 = 100;

/// Header that names the number of requests per second which the engine takes from all instances.
const RATE_LIMIT_HEADER: &str = "x-turmericrelay-rate-limit";

/// Number of words after which a response with [`Fault::Pause`] pauses.
const WORDS_BEFORE_PAUSE: usize = 3;

/// Counters of an engine since its start, and its current load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Number of requests in slots.
    pub running: usize,
    /// Number of requests that wait for a slot.
    pub waiting: usize,
    /// Greatest number of requests at once, both running and waiting.
    pub peak: usize,
    /// Number of requests received.
    pub taken: u64,
    /// Number of requests whose complete response was sent.
    pub answered: u64,
    /// Number of requests cancelled because the caller disconnected.
    pub cancelled: u64,
    /// Number of crashes.
    pub crashes: u64,
    /// Number of prompt blocks found in the cache.
    pub cached_blocks: usize,
    /// Number of prompt blocks computed.
    pub computed_blocks: usize,
}

/// Model engine that responds with deterministic words at a fixed rate.
pub struct Engine {
    options: Options,
    fault: Fault,
    cache: Cache,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    stats: Stats,
    orders: Orders,
    announcement: Arc<Mutex<Announcement>>,
    report_sender: Sender<Report>,
    /// Called when the engine crashes.
    crash: Fwd<()>,
}

impl Engine {
    /// Creates an engine without requests.
    ///
    /// The engine sends its reports to `report_sender` and updates `announcement` when orders
    /// change its models or role.
    pub(crate) fn init(
        cx: CX![],
        options: Options,
        announcement: Arc<Mutex<Announcement>>,
        report_sender: Sender<Report>,
        crash: Fwd<()>,
    ) -> Option<Self> {
        let cache = Cache::new(options.cache_blocks);
        if options.behaviour.report_every.as_millis() > 0 {
            after!(options.behaviour.report_every.as_duration(), [cx], send_reports());
        }
        Some(Self {
            orders: Orders::new(options.behaviour.checks_fencing),
            announcement,
            report_sender,
            crash,
            options,
            fault: Fault::None,
            cache,
            running: Vec::new(),
            waiting: VecDeque::new(),
            stats: Stats::default(),
        })
    }

    /// Handles an event from the HTTP server.
    pub fn handle(&mut self, cx: CX![], event: Event) {
        match event {
            Event::Arrived { request, unsent, reply, .. } => {
                self.handle_request(cx, request, &unsent, reply)
            }
            Event::Left { request } => self.cancel(cx, request),
            Event::Refused { .. } => {}
        }
    }

    /// Returns the load of the engine in the form of a load report.
    pub fn load(&self) -> Load {
        Load {
            upstream: self.options.name.clone(),
            incarnation: self.options.incarnation,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            cached_blocks: self.stats.cached_blocks as u64,
            computed_blocks: self.stats.computed_blocks as u64,
        }
    }

    fn handle_request(&mut self, cx: CX![], request: Request, unsent: &Unsent, reply: Fwd<Reply>) {
        match request.path.as_str() {
            "/v1/chat/completions" => self.handle_completion(cx, request, unsent, reply),
            "/fault" => {
                let name = String::from_utf8_lossy(&request.body);
                reply.fwd(set_fault(&mut self.fault, &name));
            }
            "/stats" => reply.fwd(json_reply(Status::OK, &self.stats())),
            "/orders" => self.handle_order(&request, &reply),
            "/kv/export" => self.handle_export(&request, &reply),
            "/kv/import" => self.handle_import(&request, &reply),
            _ => {
                let message = format!("path \"{}\" does not exist", request.path);
                let problem = Problem::rejected(Rejection::NotFound, "unknown_path", message);
                reply.fwd(problem.into_reply());
            }
        }
    }

    fn handle_order(&mut self, request: &Request, reply: &Fwd<Reply>) {
        if request.method == Method::Get {
            reply.fwd(json_reply(Status::OK, &self.orders));
            return;
        }
        if let Some(order) = parse_body::<Order>("order", request, reply) {
            let task = order.task.clone();
            let is_accepted = self.orders.apply(order);
            if is_accepted {
                self.apply_task(task);
            }
            let status = if is_accepted { Status::OK } else { Status::CONFLICT };
            reply.fwd(json_reply(status, &self.orders));
        }
    }

    /// Applies an order to the announcement, which takes effect at the next renewal.
    fn apply_task(&self, task: Task) {
        let mut current = self.announcement.lock().unwrap_or_else(PoisonError::into_inner);
        match task {
            Task::Load(model) if !current.models.contains(&model) => current.models.push(model),
            Task::Unload(model) => current.models.retain(|other| *other != model),
            Task::ChangeRole(role) => current.labels.set("role".to_string(), role),
            Task::Load(_) => {}
        }
    }

    fn handle_export(&self, request: &Request, reply: &Fwd<Reply>) {
        let Some(prompt) = parse_body::<Prompt>("prompt", request, reply) else {
            return;
        };
        let context = self.cache.export(&prompt.text());
        let echoed_headers: Vec<Header> = attempt_echo(request, self.fault).into_iter().collect();
        match self.fault {
            Fault::ExportHang => {}
            Fault::ExportCut => send_truncated(&context, echoed_headers, reply),
            _ => reply.fwd(json_reply_with(&context, echoed_headers)),
        }
    }

    fn handle_import(&mut self, request: &Request, reply: &Fwd<Reply>) {
        if let Some(context) = parse_body::<Context>("context", request, reply) {
            self.cache.import(&context);
            let echoed_headers = attempt_echo(request, self.fault).into_iter().collect();
            reply.fwd(json_reply_with(&self.stats(), echoed_headers));
        }
    }

    /// Sends a load report and the cache changes, then schedules the next report.
    fn send_reports(&mut self, cx: CX![]) {
        let _ = self.report_sender.send(Report::Load(self.load()));
        let changes = self.cache.take_changes();
        if !changes.is_empty() {
            let _ = self.report_sender.send(Report::Changes(changes));
        }
        after!(self.options.behaviour.report_every.as_duration(), [cx], send_reports());
    }

    fn stats(&self) -> Stats {
        Stats { running: self.running.len(), waiting: self.waiting.len(), ..self.stats.clone() }
    }

    /// Handles a chat-completions request unless the fault refuses it or makes it fail.
    fn handle_completion(
        &mut self,
        cx: CX![],
        request: Request,
        unsent: &Unsent,
        reply: Fwd<Reply>,
    ) {
        self.stats.taken += 1;
        match self.fault {
            Fault::Error => reply.fwd(server_error()),
            Fault::Refuse => reply.fwd(refusal(unsent)),
            _ => self.enqueue(cx, request, reply),
        }
    }

    /// Inserts a request into the wait queue by priority.
    fn enqueue(&mut self, cx: CX![], request: Request, reply: Fwd<Reply>) {
        let Some(prompt) = parse_body::<Prompt>("chat-completions request", &request, &reply)
        else {
            return;
        };
        let priority = request.header("x-priority").and_then(|value| value.parse().ok());
        let resume_offset = request.header("x-resume-offset").and_then(|value| value.parse().ok());
        let resume_offset = resume_offset.filter(|_| self.fault != Fault::Restart);
        let fault = match self.fault {
            Fault::ExportCrossed => Fault::None,
            fault => fault,
        };
        let mut echoed_headers: Vec<Header> = attempt_echo(&request, fault).into_iter().collect();
        echoed_headers.extend(
            resume_offset.map(|offset: usize| Header::new("x-resume-offset", offset.to_string())),
        );
        if let Fault::Limit(millis) = self.fault {
            let per_second = f64::from(millis) / 1000.0;
            echoed_headers.push(Header::new(RATE_LIMIT_HEADER, per_second.to_string()));
        }
        let job = Job {
            id: request.id,
            prompt_text: prompt.text(),
            prompt,
            priority: priority.unwrap_or(DEFAULT_PRIORITY),
            next_word: resume_offset.unwrap_or(0),
            produced_words: 0,
            cached_blocks: 0,
            is_stream_started: false,
            sent_bytes: 0,
            has_paused: false,
            echoed_headers,
            fault: self.fault,
            reply,
        };
        let index = self.waiting.iter().position(|other| other.priority > job.priority);
        self.waiting.insert(index.unwrap_or(self.waiting.len()), job);
        let request_count = self.running.len() + self.waiting.len();
        self.stats.peak = self.stats.peak.max(request_count);
        self.fill_slots(cx);
    }

    /// Moves waiting requests into free slots and schedules their first words.
    fn fill_slots(&mut self, cx: CX![]) {
        while self.running.len() < self.options.slots as usize {
            let Some(mut job) = self.waiting.pop_front() else {
                return;
            };
            let reuse = self.cache.use_prompt(&job.prompt_text);
            self.stats.cached_blocks += reuse.cached_blocks;
            job.cached_blocks = reuse.cached_blocks;
            self.stats.computed_blocks += reuse.computed_blocks;
            let blocks = u32::try_from(reuse.computed_blocks).unwrap_or(u32::MAX);
            let prefill_time = self.options.prefill_per_block.as_duration()
                * blocks
                * self.fault.slowdown_factor();
            let id = job.id;
            self.running.push(job);
            after!(prefill_time, [cx], produce_word(id));
        }
    }

    /// Produces the next word of the request `id` and schedules the one after it.
    fn produce_word(&mut self, cx: CX![], id: names::Request) {
        let Some(index) = self.running.iter().position(|job| job.id == id) else {
            return;
        };
        let job = &mut self.running[index];
        let words = job.prompt.words();
        match job.fault {
            Fault::Hang => return,
            Fault::Cut(limit) if job.produced_words >= limit => {
                job.reply.fwd(Reply::Cut);
                self.running.swap_remove(index);
                self.fill_slots(cx);
                return;
            }
            Fault::Pause(millis) if job.produced_words == WORDS_BEFORE_PAUSE && !job.has_paused => {
                job.has_paused = true;
                after!(Duration::from_millis(u64::from(millis)), [cx], produce_word(id));
                return;
            }
            _ => {}
        }
        if job.prompt.stream && job.send_word(words) == Sending::BrokenOff {
            self.running.swap_remove(index);
            self.fill_slots(cx);
            return;
        }
        if job.crashes() {
            self.crash();
            return;
        }
        job.next_word += 1;
        job.produced_words += 1;
        if job.next_word < words {
            let interval = self.options.word_interval.as_duration() * job.fault.slowdown_factor();
            after!(interval, [cx], produce_word(id));
            return;
        }
        let mut job = self.running.swap_remove(index);
        if job.send_end(words) == Sending::Continues {
            self.stats.answered += 1;
        }
        self.fill_slots(cx);
    }

    /// Ends as a crash of the process does: all requests and cached blocks are lost.
    fn crash(&mut self) {
        self.stats.crashes += 1;
        self.running.clear();
        self.waiting.clear();
        self.cache = Cache::new(self.options.cache_blocks);
        self.options.incarnation.0 += 1;
        let _ = self.report_sender.send(Report::Restarted(self.options.incarnation));
        self.crash.fwd(());
    }

    /// Removes a request whose caller has disconnected.
    fn cancel(&mut self, cx: CX![], id: names::Request) {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|job| job.id != id);
        self.waiting.retain(|job| job.id != id);
        let after = self.running.len() + self.waiting.len();
        self.stats.cancelled += (before - after) as u64;
        self.fill_slots(cx);
    }
}

/// Parses the body of a request; replies with an error that names `item` if that fails.
fn parse_body<T>(item: &str, request: &Request, reply: &Fwd<Reply>) -> Option<T>
where
    T: DeserializeOwned,
{
    match serde_json::from_slice(&request.body) {
        Ok(value) => Some(value),
        Err(error) => {
            let message = format!("body is not a {item}: {error}");
            let problem = Problem::rejected(Rejection::BadRequest, "invalid_body", message);
            reply.fwd(problem.into_reply());
            None
        }
    }
}
