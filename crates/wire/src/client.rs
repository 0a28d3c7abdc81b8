use std::{cell::RefCell, fmt, net::SocketAddr, rc::Rc, time::Duration};

use async_std::{future::timeout, io, net::TcpStream, task::spawn_local};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{IntoError, ResultExt};

use crate::{
    Method, Result, decode, encode,
    error::{CallSnafu, ConnectSnafu, TimeoutSnafu},
    peer_capnp::peer,
};

/// A connection to one entry VM. It is opened by the first call and again after a
/// failed one. Clones share it.
#[derive(Clone)]
pub struct Link {
    /// RPC address of the peer.
    pub peer: SocketAddr,
    client: Rc<RefCell<Option<peer::Client>>>,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link").field("peer", &self.peer).finish()
    }
}

impl Link {
    /// Creates a link; it connects at the first call.
    pub fn new(peer: SocketAddr) -> Link {
        Link { peer, client: Rc::default() }
    }

    /// Calls `method` on the peer. Connecting and the call itself may take up to
    /// `limit` each.
    ///
    /// # Errors
    /// [`crate::Error::Connect`] if the peer received nothing of the call. After
    /// any other error the peer may have acted on it, unless `message` could not
    /// be encoded.
    pub async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        message: &Q,
        limit: Duration,
    ) -> Result<R> {
        let peer = self.peer;
        let body = encode(message)?;
        let client = self.connect(limit).await?;
        let reply = match timeout(limit, send(&client, method, &body)).await {
            Ok(reply) => reply.context(CallSnafu { peer }),
            Err(_) => TimeoutSnafu { peer }.fail(),
        };
        if reply.is_err() {
            self.client.borrow_mut().take();
        }
        decode(&reply?)
    }

    async fn connect(&self, limit: Duration) -> Result<peer::Client> {
        if let Some(client) = &*self.client.borrow() {
            return Ok(client.clone());
        }
        let peer = self.peer;
        let stream = timeout(limit, TcpStream::connect(peer))
            .await
            .map_err(|_| ConnectSnafu { peer }.into_error(io::ErrorKind::TimedOut.into()))?
            .context(ConnectSnafu { peer })?;
        let _ = stream.set_nodelay(true);
        let network = VatNetwork::new(stream.clone(), stream, Side::Client, Default::default());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        spawn_local(async move {
            let _ = system.await;
        });
        *self.client.borrow_mut() = Some(client.clone());
        Ok(client)
    }
}

macro_rules! send {
    ($client:ident, $body:ident, $request:ident) => {{
        let mut request = $client.$request();
        request.get().set_body($body);
        let response = request.send().promise.await?;
        Ok(response.get()?.get_body()?.to_vec())
    }};
}

async fn send(
    client: &peer::Client,
    method: Method,
    body: &[u8],
) -> std::result::Result<Vec<u8>, capnp::Error> {
    match method {
        Method::Beat => send!(client, body, beat_request),
        Method::Sync => send!(client, body, sync_request),
        Method::Credit => send!(client, body, credit_request),
        Method::Enter => send!(client, body, enter_request),
        Method::Submit => send!(client, body, submit_request),
        Method::Lookup => send!(client, body, lookup_request),
        Method::Config => send!(client, body, config_request),
        Method::Work => send!(client, body, work_request),
        Method::Manifest => send!(client, body, manifest_request),
    }
}
