//! The threads that serve the port.

use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;

use crate::{Handler, Request, Response};

/// Requests served at once.
const THREADS: usize = 8;

/// Largest body, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// Serves the operators' port until it is dropped.
pub struct Server {
    http: Arc<tiny_http::Server>,
}

impl Server {
    /// Starts serving on `listener`.
    ///
    /// # Errors
    ///
    /// When the listener cannot be used or a thread cannot be started.
    pub fn start(listener: TcpListener, handler: Arc<dyn Handler>) -> std::io::Result<Self> {
        let http =
            tiny_http::Server::from_listener(listener, None).map_err(std::io::Error::other)?;
        let http = Arc::new(http);
        for _ in 0..THREADS {
            let http = http.clone();
            let handler = handler.clone();
            std::thread::Builder::new()
                .name("operators".to_string())
                .spawn(move || serve(&http, handler.as_ref()))?;
        }
        Ok(Self { http })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        for _ in 0..THREADS {
            self.http.unblock();
        }
    }
}

fn serve(http: &tiny_http::Server, handler: &dyn Handler) {
    while let Ok(mut request) = http.recv() {
        let response = match read(&mut request) {
            Ok(request) => handler.handle(request),
            Err(response) => response,
        };
        respond(request, response);
    }
}

fn read(request: &mut tiny_http::Request) -> Result<Request, Response> {
    let (path, query) = match request.url().split_once('?') {
        Some((path, query)) => (path.to_string(), query.to_string()),
        None => (request.url().to_string(), String::new()),
    };
    let token = request
        .headers()
        .iter()
        .find(|header| header.field.equiv("authorization"))
        .and_then(|header| header.value.as_str().strip_prefix("Bearer "))
        .map(str::to_string);
    let method = request.method().to_string();
    let mut body = Vec::new();
    request
        .as_reader()
        .take(MAX_BODY_BYTES + 1)
        .read_to_end(&mut body)
        .map_err(|error| Response::error(400, "malformed_request", error.to_string()))?;
    if body.len() as u64 > MAX_BODY_BYTES {
        let message = format!("the body is larger than {MAX_BODY_BYTES} bytes");
        return Err(Response::error(413, "body_too_large", message));
    }
    Ok(Request { method, path, query, token, body })
}

fn respond(request: tiny_http::Request, response: Response) {
    let mut headers = vec![("content-type", response.content_type)];
    if let Some(wait) = response.retry_after {
        headers.push(("retry-after", wait.as_secs().max(1).to_string()));
    }
    let mut answer =
        tiny_http::Response::from_data(response.body).with_status_code(response.status);
    for (name, value) in headers {
        if let Ok(header) = tiny_http::Header::from_bytes(name.as_bytes(), value.as_bytes()) {
            answer.add_header(header);
        }
    }
    if let Err(error) = request.respond(answer) {
        log::debug!("response was not delivered: {error}");
    }
}
