//! HTTP server with a fixed number of threads.

use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;

use crate::{Handler, Request, Response};

/// Number of server threads, and so of requests that are handled concurrently.
const SERVER_THREADS: usize = 8;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// HTTP server that handles requests until it is dropped.
pub struct Server {
    http_server: Arc<tiny_http::Server>,
}

impl Server {
    /// Starts serving on `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be used or a thread cannot be started.
    pub fn start(listener: TcpListener, handler: Arc<dyn Handler>) -> std::io::Result<Self> {
        let http_server =
            tiny_http::Server::from_listener(listener, None).map_err(std::io::Error::other)?;
        let http_server = Arc::new(http_server);
        for _ in 0..SERVER_THREADS {
            let http_server = http_server.clone();
            let handler = handler.clone();
            std::thread::Builder::new()
                .name("operators".to_string())
                .spawn(move || handle_requests(&http_server, handler.as_ref()))?;
        }
        Ok(Self { http_server })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        for _ in 0..SERVER_THREADS {
            self.http_server.unblock();
        }
    }
}

/// Handles requests on the current thread until the server is dropped.
fn handle_requests(http_server: &tiny_http::Server, handler: &dyn Handler) {
    while let Ok(mut request) = http_server.recv() {
        let response = match read_request(&mut request) {
            Ok(request) => handler.handle(request),
            Err(response) => response,
        };
        send_response(request, response);
    }
}

/// Reads the complete request, or returns the error response to send if it is malformed or its body
/// is too large.
fn read_request(request: &mut tiny_http::Request) -> Result<Request, Response> {
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
        let message = format!("the request body is larger than {MAX_BODY_BYTES} bytes");
        return Err(Response::error(413, "body_too_large", message));
    }
    Ok(Request { method, path, query, token, body })
}

fn send_response(request: tiny_http::Request, response: Response) {
    let mut headers = vec![("content-type", response.content_type)];
    if let Some(delay) = response.retry_after {
        headers.push(("retry-after", delay.as_secs().max(1).to_string()));
    }
    let mut http_response =
        tiny_http::Response::from_data(response.body).with_status_code(response.status);
    for (name, value) in headers {
        if let Ok(header) = tiny_http::Header::from_bytes(name.as_bytes(), value.as_bytes()) {
            http_response.add_header(header);
        }
    }
    if let Err(error) = request.respond(http_response) {
        log::debug!("cannot send the response to the client: {error}; dropping the response");
    }
}
