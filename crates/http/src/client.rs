use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use async_std::{
    future::timeout,
    io::{self, ReadExt},
    net::TcpStream,
};
use http_types::{Method, Request, Response, Url};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{IntoError, ResultExt};

use crate::{
    MAX_BODY_BYTES, Result,
    error::{AnswerSnafu, ConnectSnafu, DecodeSnafu, Error, StatusSnafu},
};

/// Maximum number of idle connections kept per peer. A backend server accepts 64
/// connections from all entry VMs together.
const MAX_IDLE_PER_PEER: usize = 4;

/// An HTTP request to send.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    /// Address to connect to.
    pub addr: SocketAddr,
    /// Method, `GET` or `POST`.
    pub method: Method,
    /// Path, with the query if there is one.
    pub path: String,
    /// Headers to send, as name and value.
    pub headers: Vec<(&'static str, String)>,
    /// Body to send; may be empty.
    pub body: Vec<u8>,
    /// Time limit for the whole exchange, including connecting.
    pub timeout: Duration,
}

/// An HTTP client that reuses connections. Clones share its idle connections.
#[derive(Debug, Clone, Default)]
pub struct Client {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<TcpStream>>>>,
}

impl Client {
    /// Creates a client; it connects when the first request is sent.
    pub fn new() -> Client {
        Client::default()
    }

    /// Sends a `GET` request and decodes the JSON response.
    pub async fn get<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<T> {
        let outgoing = OutgoingRequest {
            addr: peer,
            method: Method::Get,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            timeout: limit,
        };
        self.decode(outgoing).await
    }

    /// Sends `body` as JSON in a `POST` request and decodes the JSON response.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        body: &B,
        limit: Duration,
    ) -> Result<T> {
        let outgoing = OutgoingRequest {
            addr: peer,
            method: Method::Post,
            path: path.to_owned(),
            headers: Vec::new(),
            body: serde_json::to_vec(body).context(DecodeSnafu { peer })?,
            timeout: limit,
        };
        self.decode(outgoing).await
    }

    async fn decode<T: DeserializeOwned>(&self, outgoing: OutgoingRequest) -> Result<T> {
        let peer = outgoing.addr;
        let (status, body, _) = self.send(outgoing).await?;
        if !(200..300).contains(&status) {
            let body = String::from_utf8_lossy(&body).into_owned();
            return StatusSnafu { peer, status, body }.fail();
        }
        serde_json::from_slice(&body).context(DecodeSnafu { peer })
    }

    /// Sends one request and returns status, body and headers of the response. A
    /// status other than success is not an error here.
    ///
    /// # Errors
    /// [`Error::Connect`] if the peer received nothing of the request;
    /// [`Error::Answer`] if it may have acted on it.
    pub async fn send(&self, outgoing: OutgoingRequest) -> Result<(u16, Vec<u8>, Response)> {
        let peer = outgoing.addr;
        match timeout(outgoing.timeout, self.send_on_connection(&outgoing)).await {
            Ok(result) => result,
            Err(_) => {
                // Idle connections to the peer may be dead as well.
                self.idle.borrow_mut().remove(&peer);
                AnswerSnafu { peer, reason: "timeout" }.fail()
            }
        }
    }

    async fn send_on_connection(
        &self,
        outgoing: &OutgoingRequest,
    ) -> Result<(u16, Vec<u8>, Response)> {
        let peer = outgoing.addr;
        let stream = self.connect(peer, outgoing.timeout).await?;
        let request = build_request(outgoing)?;
        let mut response =
            async_h1::connect(stream.clone(), request).await.map_err(|e| incomplete(peer, &e))?;
        let expected = response.len();
        let mut body = Vec::new();
        let read = response.take_body().take(MAX_BODY_BYTES + 1).read_to_end(&mut body).await;
        read.map_err(|e| incomplete(peer, &e))?;
        if expected.is_some_and(|n| n != body.len()) || body.len() as u64 > MAX_BODY_BYTES {
            return AnswerSnafu { peer, reason: "response truncated or larger than the limit" }
                .fail();
        }
        let closes = response.header("connection").is_some_and(|v| v.as_str() == "close");
        if expected.is_some() && !closes {
            self.keep_idle(peer, stream);
        }
        Ok((response.status().into(), body, response))
    }

    /// Returns an idle connection that is still usable, or opens one.
    async fn connect(&self, peer: SocketAddr, limit: Duration) -> Result<TcpStream> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(&peer).and_then(Vec::pop);
            let Some(stream) = idle else { break };
            if is_reusable(&stream).await {
                return Ok(stream);
            }
        }
        // Connecting gets less than the whole limit, so that it fails with
        // `Connect` before `send` times out when the peer drops packets.
        let connected = timeout(limit.mul_f32(0.8), TcpStream::connect(peer)).await;
        let stream = connected
            .map_err(|_| ConnectSnafu { peer }.into_error(io::ErrorKind::TimedOut.into()))?
            .context(ConnectSnafu { peer })?;
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    fn keep_idle(&self, peer: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.entry(peer).or_default();
        if streams.len() < MAX_IDLE_PER_PEER {
            streams.push(stream);
        }
    }
}

/// Returns whether an idle connection is open and has no unread bytes. Unread
/// bytes would be taken for the next response.
async fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let mut reader = stream;
    timeout(Duration::ZERO, reader.read(&mut byte)).await.is_err()
}

fn build_request(outgoing: &OutgoingRequest) -> Result<Request> {
    let peer = outgoing.addr;
    let url = Url::parse(&format!("http://{peer}{}", outgoing.path))
        .map_err(|e| AnswerSnafu { peer, reason: e.to_string() }.build())?;
    let mut request = Request::new(outgoing.method, url);
    for (name, value) in &outgoing.headers {
        request.insert_header(*name, value.as_str());
    }
    request.set_body(outgoing.body.clone());
    Ok(request)
}

fn incomplete(peer: SocketAddr, error: &dyn std::fmt::Display) -> Error {
    AnswerSnafu { peer, reason: error.to_string() }.build()
}
