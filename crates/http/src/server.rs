use std::{future::Future, net::SocketAddr, rc::Rc, time::Duration};

use async_std::{
    future::timeout,
    io::ReadExt,
    net::{TcpListener, TcpStream},
    task::{JoinHandle, sleep, spawn_local},
};
use http_types::{Method, Request, Response, StatusCode, headers::HeaderName};
use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;

use crate::{MAX_BODY_BYTES, Result, error::ListenSnafu};

/// Time within which a caller must have sent its whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A request whose body has been read whole.
#[derive(Debug)]
pub struct Ask {
    /// Method of the request.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Pairs of the query.
    pub query: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    request: Request,
}

impl Ask {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request.header(name).map(|v| v.as_str())
    }

    /// Value of a pair of the query.
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(k, _)| k == name).map(|(_, v)| v.as_str())
    }

    /// Decodes the body, or gives the answer that says what is wrong with it.
    pub fn decode<T: DeserializeOwned>(&self) -> std::result::Result<T, Answer> {
        serde_json::from_slice(&self.body).map_err(|e| Answer::fault(400, format!("body: {e}")))
    }
}

/// An answer to a request.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub media: &'static str,
    /// Headers to add.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

#[derive(Debug, Serialize)]
struct Fault {
    error: String,
}

impl Answer {
    /// An answer of a media type.
    pub fn new(status: u16, media: &'static str, body: impl Into<Vec<u8>>) -> Answer {
        Answer { status, media, headers: Vec::new(), body: body.into() }
    }

    /// A JSON answer with an `error` member.
    pub fn fault(status: u16, error: impl Into<String>) -> Answer {
        json(status, &Fault { error: error.into() })
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: impl Into<String>) -> Answer {
        self.headers.push((name.to_owned(), value.into()));
        self
    }
}

/// A JSON answer.
pub fn json<T: Serialize>(status: u16, body: &T) -> Answer {
    match serde_json::to_vec(body) {
        Ok(bytes) => Answer::new(status, "application/json", bytes),
        Err(e) => Answer::new(500, "text/plain", e.to_string()),
    }
}

/// A listening server. It stops accepting when dropped.
#[derive(Debug)]
pub struct Server {
    /// Address that it listens on, with the port that the system gave.
    pub addr: SocketAddr,
    accepting: Option<JoinHandle<()>>,
}

impl Server {
    /// Stops accepting connections; requests in progress go on.
    pub async fn close(&mut self) {
        if let Some(task) = self.accepting.take() {
            task.cancel().await;
        }
    }
}

/// Listens on `addr` and answers each request with `handler` on this thread.
///
/// # Errors
/// [`crate::Error::Listen`] where the address cannot be bound.
pub async fn bind<F, R>(addr: SocketAddr, handler: F) -> Result<Server>
where
    F: Fn(Ask) -> R + 'static,
    R: Future<Output = Option<Answer>> + 'static,
{
    let listener = TcpListener::bind(addr).await.context(ListenSnafu { peer: addr })?;
    let addr = listener.local_addr().context(ListenSnafu { peer: addr })?;
    let handler = Rc::new(handler);
    let accepting = spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(serve(stream, Rc::clone(&handler)));
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    });
    Ok(Server { addr, accepting: Some(accepting) })
}

async fn serve<F, R>(stream: TcpStream, handler: Rc<F>)
where
    F: Fn(Ask) -> R + 'static,
    R: Future<Output = Option<Answer>> + 'static,
{
    let _ = stream.set_nodelay(true);
    let result = async_h1::accept(stream.clone(), |request| {
        let handler = Rc::clone(&handler);
        async move { answer(request, &*handler).await }
    })
    .await;
    if let Err(e) = result {
        log::debug!("event=connection_closed reason={:?}", e.to_string());
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

async fn answer<F, R>(mut request: Request, handler: &F) -> http_types::Result<Response>
where
    F: Fn(Ask) -> R,
    R: Future<Output = Option<Answer>>,
{
    let body = match timeout(BODY_TIMEOUT, read(&mut request)).await {
        Err(_) => return Ok(response(Answer::fault(408, "body: not sent in time"), true)),
        Ok(Err(refusal)) => return Ok(response(refusal, true)),
        Ok(Ok(body)) => body,
    };
    let query = request.url().query_pairs().into_owned().collect();
    let ask = Ask {
        method: request.method(),
        path: request.url().path().to_owned(),
        query,
        body,
        request,
    };
    match handler(ask).await {
        Some(answer) => Ok(response(answer, false)),
        // The connection is dropped without an answer.
        None => Err(http_types::Error::from_str(StatusCode::InternalServerError, "no answer")),
    }
}

async fn read(request: &mut Request) -> std::result::Result<Vec<u8>, Answer> {
    let expected = request.len();
    if expected.is_some_and(|n| n as u64 > MAX_BODY_BYTES) {
        return Err(Answer::fault(413, format!("body: larger than {MAX_BODY_BYTES} bytes")));
    }
    let mut body = Vec::new();
    let read = request.take_body().take(MAX_BODY_BYTES + 1).read_to_end(&mut body).await;
    if let Err(e) = read {
        return Err(Answer::fault(400, format!("body: {e}")));
    }
    if body.len() as u64 > MAX_BODY_BYTES {
        return Err(Answer::fault(413, format!("body: larger than {MAX_BODY_BYTES} bytes")));
    }
    if expected.is_some_and(|n| n != body.len()) {
        return Err(Answer::fault(400, "body: cut off"));
    }
    Ok(body)
}

fn response(answer: Answer, close: bool) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(answer.body);
    response.insert_header("content-type", answer.media);
    for (name, value) in &answer.headers {
        if let Ok(name) = HeaderName::from_bytes(name.as_bytes().to_vec()) {
            response.insert_header(name, value.as_str());
        }
    }
    if close {
        response.insert_header("connection", "close");
    }
    response
}
