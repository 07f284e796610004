//! The stand-in engine: continuous batching over slots, a prefix cache, priorities.

use std::collections::VecDeque;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use entry::{Event, Header, Method, Problem, Reply, Request, Status};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::json;
use stakker::{CX, Fwd, after};
use upstream::{Announcement, Load};

use crate::prefix::{BLOCK_BYTES, Cache};
use crate::replies::{break_off, json_reply, json_reply_with, server_sent_event, stream_start};
use crate::reporter::Report;
use crate::service::{attempt_echo, refusal, server_error, set_fault};
use crate::{Context, Fault, Options, Order, Orders, Prompt, Task, word};

/// Priority of requests that name none; smaller is more urgent.
const DEFAULT_PRIORITY: u32 = 100;

/// Bytes of a prompt that count as a token.
const BYTES_PER_TOKEN: usize = 4;

/// What an engine did so far.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Requests that it works on.
    pub running: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Most requests at once, running and waiting.
    pub peak: usize,
    /// Requests received.
    pub taken: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests whose caller went away.
    pub cancelled: u64,
    /// Prompt blocks found in the cache.
    pub cached_blocks: usize,
    /// Prompt blocks computed.
    pub computed_blocks: usize,
}

struct Job {
    id: names::Request,
    prompt: Prompt,
    text: String,
    priority: u32,
    next_word: usize,
    /// Words that this request got, whichever word it started with.
    produced: usize,
    /// Prompt blocks found in the cache.
    cached_blocks: usize,
    is_started: bool,
    /// Headers that tell the caller which attempt is answered, from which word on.
    echo: Vec<Header>,
    fault: Fault,
    reply: Fwd<Reply>,
}

/// A model engine that answers with fixed words at a fixed pace.
pub struct Engine {
    options: Options,
    fault: Fault,
    cache: Cache,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    stats: Stats,
    orders: Orders,
    announced: Arc<Mutex<Announcement>>,
    reports: Sender<Report>,
}

impl Engine {
    /// An engine without work, which sends its reports to `reports` and adds the models that it
    /// loads to what is `announced`.
    pub(crate) fn init(
        cx: CX![],
        options: Options,
        announced: Arc<Mutex<Announcement>>,
        reports: Sender<Report>,
    ) -> Option<Self> {
        let cache = Cache::new(options.cache_blocks);
        if options.behaviour.report_every.as_millis() > 0 {
            after!(options.behaviour.report_every.as_duration(), [cx], report());
        }
        Some(Self {
            orders: Orders::new(options.behaviour.checks_fencing),
            announced,
            reports,
            options,
            fault: Fault::None,
            cache,
            running: Vec::new(),
            waiting: VecDeque::new(),
            stats: Stats::default(),
        })
    }

    /// Takes one event of the HTTP server.
    pub fn handle(&mut self, cx: CX![], event: Event) {
        match event {
            Event::Arrived { request, reply } => self.arrive(cx, request, reply),
            Event::Left { request } => self.cancel(cx, request),
            Event::Refused { .. } => {}
        }
    }

    /// The engine's load, as it reports it.
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

    fn arrive(&mut self, cx: CX![], request: Request, reply: Fwd<Reply>) {
        match request.path.as_str() {
            "/v1/chat/completions" => self.take_or_fail(cx, request, reply),
            "/fault" => {
                let name = String::from_utf8_lossy(&request.body);
                reply.fwd(set_fault(&mut self.fault, &name));
            }
            "/stats" => reply.fwd(json_reply(Status::OK, &self.stats())),
            "/orders" => self.order(&request, &reply),
            "/kv/export" => self.export(&request, &reply),
            "/kv/import" => self.import(&request, &reply),
            _ => {
                let message = format!("path \"{}\" does not exist", request.path);
                let problem = Problem::not_run(Status::NOT_FOUND, "unknown_path", message);
                reply.fwd(problem.into_reply());
            }
        }
    }

    fn order(&mut self, request: &Request, reply: &Fwd<Reply>) {
        if request.method == Method::Get {
            reply.fwd(json_reply(Status::OK, &self.orders));
            return;
        }
        if let Some(order) = parse::<Order>("order", request, reply) {
            let task = order.task.clone();
            let is_taken = self.orders.take(order);
            if is_taken {
                self.carry_out(task);
            }
            let status = if is_taken { Status::OK } else { Status::CONFLICT };
            reply.fwd(json_reply(status, &self.orders));
        }
    }

    /// Announces the models that an order loads or drops, or the role that it gives, from the next renewal on.
    fn carry_out(&self, task: Task) {
        let mut announced = self.announced.lock().unwrap_or_else(PoisonError::into_inner);
        match task {
            Task::Load(model) if !announced.models.contains(&model) => announced.models.push(model),
            Task::Unload(model) => announced.models.retain(|other| *other != model),
            Task::ChangeRole(role) => announced.labels.set("role".to_string(), role),
            Task::Load(_) => {}
        }
    }

    fn export(&self, request: &Request, reply: &Fwd<Reply>) {
        let Some(prompt) = parse::<Prompt>("prompt", request, reply) else {
            return;
        };
        let context = self.cache.export(&prompt.text());
        let echo: Vec<Header> = attempt_echo(request, self.fault).into_iter().collect();
        match self.fault {
            Fault::ExportHang => {}
            Fault::ExportCut => break_off(&context, echo, reply),
            _ => reply.fwd(json_reply_with(&context, echo)),
        }
    }

    fn import(&mut self, request: &Request, reply: &Fwd<Reply>) {
        if let Some(context) = parse::<Context>("context", request, reply) {
            self.cache.import(&context);
            let echo = attempt_echo(request, self.fault).into_iter().collect();
            reply.fwd(json_reply_with(&self.stats(), echo));
        }
    }

    /// Reports load and cache changes; again and again.
    fn report(&mut self, cx: CX![]) {
        let _ = self.reports.send(Report::Load(self.load()));
        let changes = self.cache.take_changes();
        if !changes.is_empty() {
            let _ = self.reports.send(Report::Changes(changes));
        }
        after!(self.options.behaviour.report_every.as_duration(), [cx], report());
    }

    fn stats(&self) -> Stats {
        Stats { running: self.running.len(), waiting: self.waiting.len(), ..self.stats.clone() }
    }

    fn take_or_fail(&mut self, cx: CX![], request: Request, reply: Fwd<Reply>) {
        self.stats.taken += 1;
        match self.fault {
            Fault::Error => reply.fwd(server_error()),
            Fault::Refuse => reply.fwd(refusal()),
            _ => self.take(cx, request, reply),
        }
    }

    fn take(&mut self, cx: CX![], request: Request, reply: Fwd<Reply>) {
        let Some(prompt) = parse::<Prompt>("chat-completions request", &request, &reply) else {
            return;
        };
        let priority = request.header("x-priority").and_then(|value| value.parse().ok());
        let resumed = request.header("x-resume-offset").and_then(|value| value.parse().ok());
        let fault = match self.fault {
            Fault::ExportCrossed => Fault::None,
            fault => fault,
        };
        let mut echo: Vec<Header> = attempt_echo(&request, fault).into_iter().collect();
        echo.extend(
            resumed.map(|offset: usize| Header::new("x-resume-offset", offset.to_string())),
        );
        let job = Job {
            id: request.id,
            text: prompt.text(),
            prompt,
            priority: priority.unwrap_or(DEFAULT_PRIORITY),
            next_word: resumed.unwrap_or(0),
            produced: 0,
            cached_blocks: 0,
            is_started: false,
            echo,
            fault: self.fault,
            reply,
        };
        let index = self.waiting.iter().position(|other| other.priority > job.priority);
        self.waiting.insert(index.unwrap_or(self.waiting.len()), job);
        let total = self.running.len() + self.waiting.len();
        self.stats.peak = self.stats.peak.max(total);
        self.fill_slots(cx);
    }

    fn fill_slots(&mut self, cx: CX![]) {
        while self.running.len() < self.options.slots as usize {
            let Some(mut job) = self.waiting.pop_front() else {
                return;
            };
            let reuse = self.cache.use_prompt(&job.text);
            self.stats.cached_blocks += reuse.cached_blocks;
            job.cached_blocks = reuse.cached_blocks;
            self.stats.computed_blocks += reuse.computed_blocks;
            let blocks = u32::try_from(reuse.computed_blocks).unwrap_or(u32::MAX);
            let prefill =
                self.options.prefill_per_block.as_duration() * blocks * self.fault.slowness();
            let id = job.id;
            self.running.push(job);
            after!(prefill, [cx], produce(id));
        }
    }

    /// Produces the next word of the request `id`.
    fn produce(&mut self, cx: CX![], id: names::Request) {
        let Some(index) = self.running.iter().position(|job| job.id == id) else {
            return;
        };
        let job = &mut self.running[index];
        let words = job.prompt.words();
        match job.fault {
            Fault::Hang => return,
            Fault::Cut(limit) if job.produced >= limit => {
                job.reply.fwd(Reply::Cut);
                self.running.swap_remove(index);
                self.fill_slots(cx);
                return;
            }
            _ => {}
        }
        if job.prompt.stream {
            stream(job, words);
        }
        job.next_word += 1;
        job.produced += 1;
        if job.next_word < words {
            let interval = self.options.word_interval.as_duration() * job.fault.slowness();
            after!(interval, [cx], produce(id));
            return;
        }
        let job = self.running.swap_remove(index);
        finish(&job, words);
        self.stats.answered += 1;
        self.fill_slots(cx);
    }

    fn cancel(&mut self, cx: CX![], id: names::Request) {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|job| job.id != id);
        self.waiting.retain(|job| job.id != id);
        let after = self.running.len() + self.waiting.len();
        self.stats.cancelled += (before - after) as u64;
        self.fill_slots(cx);
    }
}

/// The `what` in a request's body; answers the request when there is none.
fn parse<T>(what: &str, request: &Request, reply: &Fwd<Reply>) -> Option<T>
where
    T: DeserializeOwned,
{
    match serde_json::from_slice(&request.body) {
        Ok(value) => Some(value),
        Err(error) => {
            let message = format!("body is not a {what}: {error}");
            let problem = Problem::not_run(Status::BAD_REQUEST, "invalid_body", message);
            reply.fwd(problem.into_reply());
            None
        }
    }
}

/// Streams the next word, after the head of the stream.
fn stream(job: &mut Job, words: usize) {
    if !job.is_started {
        job.is_started = true;
        job.reply.fwd(stream_start(&job.echo));
    }
    if job.next_word < words {
        job.reply.fwd(Reply::Part(stream_word(job)));
    }
}

fn stream_word(job: &Job) -> Vec<u8> {
    server_sent_event(&json!({
        "id": format!("chatcmpl-{}", job.id),
        "object": "chat.completion.chunk",
        "created": 0,
        "model": job.prompt.model,
        "choices": [{
            "index": 0,
            "delta": { "role": "assistant", "content": word(&job.text, job.next_word) },
            "finish_reason": null,
        }],
    }))
}

fn finish(job: &Job, words: usize) {
    if job.prompt.stream {
        let last = json!({
            "id": format!("chatcmpl-{}", job.id),
            "object": "chat.completion.chunk",
            "created": 0,
            "model": job.prompt.model,
            "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
        });
        job.reply.fwd(Reply::Part(server_sent_event(&last)));
        job.reply.fwd(Reply::Part(b"data: [DONE]\n\n".to_vec()));
        job.reply.fwd(Reply::End);
        return;
    }
    let answer = json!({
        "id": format!("chatcmpl-{}", job.id),
        "object": "chat.completion",
        "created": 0,
        "model": job.prompt.model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": crate::answer(&job.text, words) },
            "finish_reason": "stop",
        }],
        "usage": {
            "prompt_tokens": job.text.len() / BYTES_PER_TOKEN,
            "prompt_tokens_details": {
                "cached_tokens": job.cached_blocks * BLOCK_BYTES / BYTES_PER_TOKEN,
            },
            "completion_tokens": words,
            "total_tokens": job.text.len() / BYTES_PER_TOKEN + words,
        },
    });
    job.reply.fwd(json_reply_with(&answer, job.echo.clone()));
}
