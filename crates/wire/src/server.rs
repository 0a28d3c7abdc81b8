use std::{net::SocketAddr, rc::Rc, time::Duration};

use async_std::{
    net::{TcpListener, TcpStream},
    task::{JoinHandle, sleep, spawn_local},
};
use capnp::capability::Promise;
use capnp_rpc::{RpcSystem, pry, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::future::LocalBoxFuture;
use snafu::ResultExt;

use crate::{Method, Result, error::ListenSnafu, peer_capnp::peer};

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Result of a handler: the encoded reply, or the reason why the call failed.
pub type Handled = std::result::Result<Vec<u8>, String>;

type Handler = Rc<dyn Fn(Method, Vec<u8>) -> LocalBoxFuture<'static, Handled>>;

/// A listening RPC server. It accepts connections until the process ends, even
/// when the value is dropped.
#[derive(Debug)]
pub struct Server {
    /// Address that it listens on. The port is the actual one, also when port 0 was
    /// asked for.
    pub addr: SocketAddr,
    _accept_task: JoinHandle<()>,
}

/// Listens on `addr` and runs `handler` for each call, on the current thread.
///
/// # Errors
/// [`crate::Error::Listen`] if the address cannot be bound.
pub async fn bind<F>(addr: SocketAddr, handler: F) -> Result<Server>
where
    F: Fn(Method, Vec<u8>) -> LocalBoxFuture<'static, Handled> + 'static,
{
    let listener = TcpListener::bind(addr).await.context(ListenSnafu { peer: addr })?;
    let addr = listener.local_addr().context(ListenSnafu { peer: addr })?;
    let handler: Handler = Rc::new(handler);
    let accept_task = spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(serve_connection(stream, Rc::clone(&handler)));
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    });
    Ok(Server { addr, _accept_task: accept_task })
}

async fn serve_connection(stream: TcpStream, handler: Handler) {
    let _ = stream.set_nodelay(true);
    let network = VatNetwork::new(stream.clone(), stream, Side::Server, Default::default());
    let client: peer::Client = capnp_rpc::new_client(PeerService { handler });
    if let Err(e) = RpcSystem::new(Box::new(network), Some(client.client)).await {
        log::debug!("event=rpc_closed reason={:?}", e.to_string());
    }
}

struct PeerService {
    handler: Handler,
}

macro_rules! methods {
    ($($name:ident, $params:ident, $results:ident, $method:ident;)*) => {
        impl peer::Server for PeerService {
            $(fn $name(
                &mut self,
                params: peer::$params,
                mut results: peer::$results,
            ) -> Promise<(), capnp::Error> {
                let body = pry!(pry!(params.get()).get_body()).to_vec();
                // A separate task, since a caller that disconnects must not
                // cancel a call halfway.
                let reply = spawn_local((self.handler)(Method::$method, body));
                Promise::from_future(async move {
                    let body = reply.await.map_err(capnp::Error::failed)?;
                    results.get().set_body(&body);
                    Ok(())
                })
            })*
        }
    };
}

methods! {
    beat, BeatParams, BeatResults, Beat;
    sync, SyncParams, SyncResults, Sync;
    credit, CreditParams, CreditResults, Credit;
    enter, EnterParams, EnterResults, Enter;
    submit, SubmitParams, SubmitResults, Submit;
    lookup, LookupParams, LookupResults, Lookup;
    config, ConfigParams, ConfigResults, Config;
    work, WorkParams, WorkResults, Work;
    manifest, ManifestParams, ManifestResults, Manifest;
}
