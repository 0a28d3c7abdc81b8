use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
};

use base::{Millis, Name, now};
use http::{Request, Response, Server, json};
use http_types::Method;
use plat::{Vm, VmState, VmUpdate};
use serde::{Deserialize, Serialize};

/// Faults that are injected until they are set anew. Zero means none.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Faults {
    outage: bool,
    lag_ms: Millis,
}

/// Addresses of VMs as seen from one failure domain, for example those of relays.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct View {
    http: BTreeMap<Name, SocketAddr>,
    rpc: BTreeMap<Name, SocketAddr>,
}

/// The VMs from the time `at` on, until the next version.
#[derive(Debug, Clone, Default)]
struct Version {
    at: Millis,
    number: u64,
    vms: BTreeMap<Name, Vm>,
}

#[derive(Debug, Default)]
struct State {
    history: VecDeque<Version>,
    views: BTreeMap<String, View>,
    servers: Vec<Server>,
    faults: Faults,
}

impl State {
    fn change(&mut self, edit: impl FnOnce(&mut BTreeMap<Name, Vm>)) {
        let mut next = self.history.back().cloned().unwrap_or_default();
        edit(&mut next.vms);
        next.at = now().unix;
        next.number += 1;
        self.history.push_back(next);
        while self.history.len() > 200 {
            self.history.pop_front();
        }
    }

    /// Returns the list as of `lag_ms` ago, for a reader that has version `known`.
    fn list(&self, view: Option<&str>, known: u64) -> VmUpdate {
        let asof = now().unix.saturating_sub(self.faults.lag_ms);
        let then = self.history.iter().rev().find(|version| version.at <= asof);
        let Some(then) = then else { return VmUpdate { asof, version: 0, vms: Some(Vec::new()) } };
        let changed = known != then.number;
        let vms = changed.then(|| self.apply_view(view, then));
        VmUpdate { asof, version: then.number, vms }
    }

    /// Returns the VMs with the addresses that a view shows.
    fn apply_view(&self, view: Option<&str>, version: &Version) -> Vec<Vm> {
        let mut vms: Vec<Vm> = version.vms.values().cloned().collect();
        if let Some(view) = view.and_then(|name| self.views.get(name)) {
            for vm in &mut vms {
                vm.http = view.http.get(&vm.id).copied().unwrap_or(vm.http);
                vm.rpc = view.rpc.get(&vm.id).copied().or(vm.rpc);
            }
        }
        vms
    }
}

type Shared = Rc<RefCell<State>>;

/// A running stand-in for the VM list of the platform.
#[derive(Debug)]
pub struct Vms {
    /// Address that it listens on.
    pub addr: SocketAddr,
    _server: Server,
}

impl Vms {
    /// Listens on `addr`, with an empty list.
    ///
    /// # Errors
    /// [`http::Error::Listen`] if the address cannot be bound.
    pub async fn bind(addr: SocketAddr) -> http::Result<Vms> {
        let state = Shared::default();
        let server = listen(addr, state, None).await?;
        Ok(Vms { addr: server.addr, _server: server })
    }
}

async fn listen(addr: SocketAddr, state: Shared, view: Option<String>) -> http::Result<Server> {
    http::bind(addr, move |req| handle(Rc::clone(&state), view.clone(), req)).await
}

async fn handle(state: Shared, view: Option<String>, req: Request) -> Option<Response> {
    let result = match (req.method, req.path.as_str()) {
        (Method::Get, "/v1/vms") if state.borrow().faults.outage => return None,
        (Method::Get, "/v1/vms") => {
            let known = req.param("version").and_then(|v| v.parse().ok()).unwrap_or(0);
            Ok(json(200, &state.borrow().list(view.as_deref(), known)))
        }
        (Method::Post, "/v1/faults") => req.decode().map(|faults: Faults| {
            state.borrow_mut().faults = faults.clone();
            json(200, &faults)
        }),
        (Method::Post, "/v1/vms") => req.decode().map(|vm: Vm| {
            state.borrow_mut().change(|vms| {
                vms.insert(vm.id.clone(), vm.clone());
            });
            json(200, &vm)
        }),
        (Method::Post, path) => handle_edit(&state, path, &req).await,
        _ => Err(Response::error(404, "no such path")),
    };
    Some(result.unwrap_or_else(|refusal| refusal))
}

/// Handles `/v1/vms/ID/remove`, `/v1/vms/ID/leave` and `/v1/views/NAME`.
async fn handle_edit(state: &Shared, path: &str, req: &Request) -> Result<Response, Response> {
    if let Some(name) = path.strip_prefix("/v1/views/") {
        return set_view(state, name, req).await;
    }
    let Some((id, step)) = path.strip_prefix("/v1/vms/").and_then(|rest| rest.split_once('/'))
    else {
        return Err(Response::error(404, "no such path"));
    };
    state.borrow_mut().change(|vms| match step {
        "remove" => {
            vms.remove(id);
        }
        _ => {
            if let Some(vm) = vms.get_mut(id) {
                vm.state = VmState::Leaving;
            }
        }
    });
    Ok(json(200, &true))
}

/// Sets the addresses that a view shows. The first time it also opens a listener
/// for the view and returns the listener's address.
async fn set_view(state: &Shared, name: &str, req: &Request) -> Result<Response, Response> {
    let view: View = req.decode()?;
    let known = state.borrow_mut().views.insert(name.to_owned(), view).is_some();
    state.borrow_mut().change(|_| {});
    if known {
        return Ok(json(200, &true));
    }
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = listen(addr, Rc::clone(state), Some(name.to_owned()))
        .await
        .map_err(|e| Response::error(500, e.to_string()))?;
    let addr = server.addr;
    state.borrow_mut().servers.push(server);
    Ok(json(200, &addr))
}
