use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use async_h1::server::ConnectionStatus;
use async_std::{
    future::timeout,
    io::ReadExt,
    net::{TcpListener, TcpStream},
    task::{JoinHandle, sleep, spawn_local},
};
use http_types::{Method, StatusCode, headers::HeaderName};
use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;

use crate::{MAX_BODY_BYTES, Result, error::ListenSnafu};

/// Time limit for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A request that was received, with its complete body.
#[derive(Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Decoded query parameters, as name and value.
    pub query: Vec<(String, String)>,
    /// The body; at most [`MAX_BODY_BYTES`].
    pub body: Vec<u8>,
    request: http_types::Request,
}

impl Request {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request.header(name).map(|v| v.as_str())
    }

    /// Returns the value of a query parameter; the first if it is repeated.
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(k, _)| k == name).map(|(_, v)| v.as_str())
    }

    /// Decodes the body from JSON.
    ///
    /// # Errors
    /// A response with status 400 that describes the fault.
    pub fn decode<T: DeserializeOwned>(&self) -> std::result::Result<T, Response> {
        serde_json::from_slice(&self.body).map_err(|e| Response::error(400, format!("body: {e}")))
    }
}

/// The response to a request.
#[derive(Debug)]
pub struct Response {
    /// HTTP status; one that does not exist is sent as 500.
    pub status: u16,
    /// Media type of the body, sent as `content-type`.
    pub content_type: &'static str,
    /// Further headers, as name and value.
    pub headers: Vec<(String, String)>,
    /// The body; may be empty.
    pub body: Vec<u8>,
}

#[derive(Debug, Serialize)]
struct ErrorBody {
    error: String,
}

impl Response {
    /// Creates a response whose body has the given media type.
    pub fn new(status: u16, content_type: &'static str, body: impl Into<Vec<u8>>) -> Response {
        Response { status, content_type, headers: Vec::new(), body: body.into() }
    }

    /// Creates an error response: a JSON object with the member `error`.
    pub fn error(status: u16, error: impl Into<String>) -> Response {
        json(status, &ErrorBody { error: error.into() })
    }

    /// Returns the response with a header added.
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Response {
        self.headers.push((name.to_owned(), value.into()));
        self
    }
}

/// Creates a JSON response, or one with status 500 if `body` cannot be encoded.
pub fn json<T: Serialize>(status: u16, body: &T) -> Response {
    match serde_json::to_vec(body) {
        Ok(bytes) => Response::new(status, "application/json", bytes),
        Err(e) => Response::new(500, "text/plain", e.to_string()),
    }
}

/// A listening HTTP server. It accepts connections until [`Server::close`] is
/// called, even when the value is dropped before.
#[derive(Debug)]
pub struct Server {
    /// Address that it listens on. The port is the actual one, also when port 0 was
    /// asked for.
    pub addr: SocketAddr,
    shared: Rc<Shared>,
    accept_task: Option<JoinHandle<()>>,
}

/// State shared by a server and its connections.
#[derive(Debug, Default)]
struct Shared {
    /// Whether each response is the last one of its connection.
    draining: Cell<bool>,
    /// Number of requests in flight, see [`Server::inflight`].
    inflight: Cell<usize>,
}

/// A request in flight, counted until it is dropped.
#[derive(Debug)]
struct InFlight(Rc<Shared>);

impl InFlight {
    fn new(shared: &Rc<Shared>) -> InFlight {
        shared.inflight.set(shared.inflight.get() + 1);
        InFlight(Rc::clone(shared))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.inflight.set(self.0.inflight.get() - 1);
    }
}

impl Server {
    /// Closes each connection after its next response, which says so. Connections are still
    /// accepted.
    pub fn drain(&self) {
        self.shared.draining.set(true);
    }

    /// Returns the number of requests that were received to the end, and whose responses are not
    /// written to the end.
    pub fn inflight(&self) -> usize {
        self.shared.inflight.get()
    }

    /// Stops accepting connections. Open connections are kept and served.
    pub async fn close(&mut self) {
        if let Some(task) = self.accept_task.take() {
            task.cancel().await;
        }
    }
}

/// Listens on `addr` and runs `handler` for each request, on the current thread.
/// If the handler returns `None`, the connection is closed without a response.
///
/// # Errors
/// [`crate::Error::Listen`] if the address cannot be bound.
pub async fn bind<F, R>(addr: SocketAddr, handler: F) -> Result<Server>
where
    F: Fn(Request) -> R + 'static,
    R: Future<Output = Option<Response>> + 'static,
{
    let listener = TcpListener::bind(addr).await.context(ListenSnafu { peer: addr })?;
    let addr = listener.local_addr().context(ListenSnafu { peer: addr })?;
    let handler = Rc::new(handler);
    let shared = Rc::new(Shared::default());
    let server_state = Rc::clone(&shared);
    let accept_task = spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let shared = Rc::clone(&server_state);
                    spawn_local(serve_connection(stream, shared, Rc::clone(&handler)));
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    });
    Ok(Server { addr, shared, accept_task: Some(accept_task) })
}

async fn serve_connection<F, R>(stream: TcpStream, shared: Rc<Shared>, handler: Rc<F>)
where
    F: Fn(Request) -> R + 'static,
    R: Future<Output = Option<Response>> + 'static,
{
    let _ = stream.set_nodelay(true);
    let inflight = Rc::new(RefCell::new(None));
    let mut server = async_h1::server::Server::new(stream.clone(), |request| {
        let (shared, handler) = (Rc::clone(&shared), Rc::clone(&handler));
        let inflight = Rc::clone(&inflight);
        async move { handle_request(request, &shared, &inflight, &*handler).await }
    });
    loop {
        let result = server.accept_one().await;
        // The response has been written, or the connection has failed.
        inflight.take();
        match result {
            Ok(ConnectionStatus::KeepAlive) => {}
            Ok(ConnectionStatus::Close) => break,
            Err(e) => {
                log::debug!("event=connection_closed reason={:?}", e.to_string());
                break;
            }
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

async fn handle_request<F, R>(
    mut request: http_types::Request,
    shared: &Rc<Shared>,
    inflight: &RefCell<Option<InFlight>>,
    handler: &F,
) -> http_types::Result<http_types::Response>
where
    F: Fn(Request) -> R,
    R: Future<Output = Option<Response>>,
{
    let body = match timeout(BODY_TIMEOUT, read_body(&mut request)).await {
        Err(_) => return Ok(build_response(Response::error(408, "body: not sent in time"), true)),
        Ok(Err(refusal)) => return Ok(build_response(refusal, true)),
        Ok(Ok(body)) => body,
    };
    inflight.replace(Some(InFlight::new(shared)));
    let query = request.url().query_pairs().into_owned().collect();
    let req = Request {
        method: request.method(),
        path: request.url().path().to_owned(),
        query,
        body,
        request,
    };
    match handler(req).await {
        Some(response) => Ok(build_response(response, shared.draining.get())),
        // An error makes `accept_one` end without sending a response.
        None => Err(http_types::Error::from_str(StatusCode::InternalServerError, "no answer")),
    }
}

async fn read_body(request: &mut http_types::Request) -> std::result::Result<Vec<u8>, Response> {
    let expected = request.len();
    if expected.is_some_and(|n| n as u64 > MAX_BODY_BYTES) {
        return Err(Response::error(413, format!("body: larger than {MAX_BODY_BYTES} bytes")));
    }
    let mut body = Vec::new();
    let read = request.take_body().take(MAX_BODY_BYTES + 1).read_to_end(&mut body).await;
    if let Err(e) = read {
        return Err(Response::error(400, format!("body: {e}")));
    }
    if body.len() as u64 > MAX_BODY_BYTES {
        return Err(Response::error(413, format!("body: larger than {MAX_BODY_BYTES} bytes")));
    }
    if expected.is_some_and(|n| n != body.len()) {
        return Err(Response::error(400, "body: cut off"));
    }
    Ok(body)
}

fn build_response(response: Response, close: bool) -> http_types::Response {
    let status = StatusCode::try_from(response.status).unwrap_or(StatusCode::InternalServerError);
    let mut message = http_types::Response::new(status);
    message.set_body(response.body);
    message.insert_header("content-type", response.content_type);
    for (name, value) in &response.headers {
        if let Ok(name) = HeaderName::from_bytes(name.as_bytes().to_vec()) {
            message.insert_header(name, value.as_str());
        }
    }
    if close {
        message.insert_header("connection", "close");
    }
    message
}
