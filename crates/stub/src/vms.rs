use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
};

use base::{Millis, Name, now};
use http::{Answer, Ask, Server, json};
use http_types::Method;
use plat::{Vm, VmState, VmUpdate};
use serde::{Deserialize, Serialize};

/// Faults that can be switched on.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Faults {
    outage: bool,
    lag_ms: Millis,
}

/// Addresses of VMs as one failure domain sees them, such as through relays.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct View {
    http: BTreeMap<Name, SocketAddr>,
    rpc: BTreeMap<Name, SocketAddr>,
}

/// The list from one moment on.
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

    /// The list as it was, for a reader that has version `known`.
    fn list(&self, view: Option<&str>, known: u64) -> VmUpdate {
        let asof = now().unix.saturating_sub(self.faults.lag_ms);
        let then = self.history.iter().rev().find(|version| version.at <= asof);
        let Some(then) = then else { return VmUpdate { asof, version: 0, vms: Some(Vec::new()) } };
        let changed = known != then.number;
        let vms = changed.then(|| self.seen(view, then));
        VmUpdate { asof, version: then.number, vms }
    }

    /// The VMs with the addresses that a view shows.
    fn seen(&self, view: Option<&str>, version: &Version) -> Vec<Vm> {
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

/// A running stand-in of the platform's VM list.
#[derive(Debug)]
pub struct Vms {
    /// Its address.
    pub addr: SocketAddr,
    _server: Server,
}

impl Vms {
    /// Listens on `addr` with an empty list.
    ///
    /// # Errors
    /// [`http::Error::Listen`].
    pub async fn bind(addr: SocketAddr) -> http::Result<Vms> {
        let state = Shared::default();
        let server = listen(addr, state, None).await?;
        Ok(Vms { addr: server.addr, _server: server })
    }
}

async fn listen(addr: SocketAddr, state: Shared, view: Option<String>) -> http::Result<Server> {
    http::bind(addr, move |ask| answer(Rc::clone(&state), view.clone(), ask)).await
}

async fn answer(state: Shared, view: Option<String>, ask: Ask) -> Option<Answer> {
    let done = match (ask.method, ask.path.as_str()) {
        (Method::Get, "/v1/vms") if state.borrow().faults.outage => return None,
        (Method::Get, "/v1/vms") => {
            let known = ask.param("version").and_then(|v| v.parse().ok()).unwrap_or(0);
            Ok(json(200, &state.borrow().list(view.as_deref(), known)))
        }
        (Method::Post, "/v1/faults") => ask.decode().map(|faults: Faults| {
            state.borrow_mut().faults = faults.clone();
            json(200, &faults)
        }),
        (Method::Post, "/v1/vms") => ask.decode().map(|vm: Vm| {
            state.borrow_mut().change(|vms| {
                vms.insert(vm.id.clone(), vm.clone());
            });
            json(200, &vm)
        }),
        (Method::Post, path) => edit(&state, path, &ask).await,
        _ => Err(Answer::fault(404, "no such path")),
    };
    Some(done.unwrap_or_else(|refusal| refusal))
}

/// `/v1/vms/ID/remove`, `/v1/vms/ID/leave` and `/v1/views/NAME`.
async fn edit(state: &Shared, path: &str, ask: &Ask) -> Result<Answer, Answer> {
    if let Some(name) = path.strip_prefix("/v1/views/") {
        return open_view(state, name, ask).await;
    }
    let Some((id, step)) = path.strip_prefix("/v1/vms/").and_then(|rest| rest.split_once('/'))
    else {
        return Err(Answer::fault(404, "no such path"));
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

/// Sets the addresses that a view shows, opening its own listener at first.
async fn open_view(state: &Shared, name: &str, ask: &Ask) -> Result<Answer, Answer> {
    let view: View = ask.decode()?;
    let known = state.borrow_mut().views.insert(name.to_owned(), view).is_some();
    state.borrow_mut().change(|_| {});
    if known {
        return Ok(json(200, &true));
    }
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = listen(addr, Rc::clone(state), Some(name.to_owned()))
        .await
        .map_err(|e| Answer::fault(500, e.to_string()))?;
    let addr = server.addr;
    state.borrow_mut().servers.push(server);
    Ok(json(200, &addr))
}
