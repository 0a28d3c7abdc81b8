//! Polls the VM list of the platform.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use async_std::task::{JoinHandle, sleep, spawn_local};
use base::Name;
use cell::{Cell, ServerState};
use plat::{Kind, VmState};

use crate::node::{KEY_SHARDS, Node};

/// Period at which the VM list is polled.
const LIST_PERIOD: Duration = Duration::from_millis(1000);

/// Spawns the loop that polls the VM list of the platform.
pub(crate) fn spawn(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    spawn_local(async move {
        loop {
            match node.vms.list().await {
                Ok(list) => {
                    if node.state.borrow_mut().members.on_list(&list) {
                        on_list(&node);
                    }
                }
                Err(e) => log::debug!("event=vm_list error={:?}", e.to_string()),
            }
            sleep(LIST_PERIOD).await;
        }
    })
}

/// Updates cells and routing targets from the VM list and the configuration.
pub(crate) fn on_list(node: &Rc<Node>) {
    let mut state = node.state.borrow_mut();
    let domain = node.settings.domain.clone();
    let vms: Vec<plat::Vm> = state.members.vms(Kind::Backend).cloned().collect();
    let mut ids: BTreeSet<Name> = vms
        .iter()
        .filter(|vm| vm.domain == domain)
        .map(|vm| Name::from(format!("{domain}.{}", vm.rack)))
        .collect();
    for shard in 0..KEY_SHARDS {
        ids.insert(format!("{domain}.keys-{shard}").into());
    }
    for id in &ids {
        let setup = node.setup();
        state.cells.entry(id.clone()).or_insert_with(|| Cell::open(id.clone(), setup));
    }
    let rentals = state.config.document.rentals.clone();
    let return_time = |vm: &plat::Vm| {
        let planned = rentals.iter().find(|r| r.vm == vm.id).map(|r| r.until_ms);
        planned.into_iter().chain(vm.until).min()
    };
    for cell in state.cells.values_mut() {
        for server in cell.servers.values_mut() {
            if !vms.iter().any(|vm| vm.id == server.id) {
                server.state = ServerState::Gone;
            }
        }
        for vm in vms.iter().filter(|vm| in_cell(vm, &cell.id)) {
            let new_server = || cell::Server::open(vm.id.clone(), vm.http, vm.size);
            let server = cell.servers.entry(vm.id.clone()).or_insert_with(new_server);
            server.http = vm.http;
            server.until = return_time(vm);
            server.state = match vm.state {
                VmState::Live => ServerState::Live,
                VmState::Leaving => ServerState::Leaving,
            };
        }
    }
    let (domain, region) = (&node.settings.domain, &node.settings.region);
    state.router.on_list(&vms, domain, region);
    state.dirty.extend(ids);
}

fn in_cell(vm: &plat::Vm, cell: &str) -> bool {
    cell.split_once('.').is_some_and(|(domain, rack)| *vm.domain == *domain && *vm.rack == *rack)
}
