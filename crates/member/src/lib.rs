//! Membership of entry VMs: which are listed, which answer, and which are proven
//! dead. Missed heartbeats and refused connections are no proof of death.

use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name, Now, rendezvous_weight};
use cell::Peer;
use plat::{Kind, Vm, VmList, VmState};

/// Longest time in milliseconds from the creation of a VM until the VM list
/// contains it, by the list's own time.
pub const REGISTER: Millis = 120_000;
/// Time in milliseconds without a heartbeat after which an entry VM gets no new role.
pub const SILENCE: Millis = 1000;

/// An entry VM that has sent a heartbeat to this process.
#[derive(Debug, Clone)]
pub struct Member {
    /// The newest known process of the VM.
    pub peer: Peer,
    /// Time of its last heartbeat, on the monotonic clock.
    pub heard: Millis,
    /// Whether the process is shutting down.
    pub leaving: bool,
}

/// The VM list and the entry VMs that have sent heartbeats.
#[derive(Debug)]
pub struct Members {
    /// This process.
    pub me: Peer,
    domain: Name,
    vms: BTreeMap<Name, Vm>,
    asof: Millis,
    gone: BTreeSet<Name>,
    members: BTreeMap<Name, Member>,
}

impl Members {
    /// Creates a table that contains only this process.
    pub fn open(me: Peer, domain: Name) -> Members {
        let (vms, members) = (BTreeMap::new(), BTreeMap::new());
        Members { me, domain, vms, asof: 0, gone: BTreeSet::new(), members }
    }

    /// Applies a VM list and returns true; returns false and changes nothing if
    /// the list is not newer than the current one.
    pub fn on_list(&mut self, list: &VmList) -> bool {
        if list.asof <= self.asof {
            return false;
        }
        self.asof = list.asof;
        let listed: BTreeMap<Name, Vm> =
            list.vms.iter().map(|vm| (vm.id.clone(), vm.clone())).collect();
        for id in self.vms.keys().filter(|id| !listed.contains_key(*id)) {
            self.gone.insert(id.clone());
        }
        self.vms = listed;
        // An identifier is never given to another VM.
        self.vms.retain(|id, _| !self.gone.contains(id));
        true
    }

    /// Records a heartbeat. One from an older process of the VM is ignored.
    pub fn on_beat(&mut self, peer: &Peer, leaving: bool, now: Now) {
        let known = self.members.get(&peer.vm);
        if known.is_some_and(|m| m.peer.incarnation > peer.incarnation) {
            return;
        }
        let member = Member { peer: peer.clone(), heard: now.mono, leaving };
        self.members.insert(peer.vm.clone(), member);
    }

    /// Returns the VMs known to have been removed from the list.
    pub fn gone(&self) -> impl Iterator<Item = &Name> {
        self.gone.iter()
    }

    /// Records VMs that another process has seen removed from the list: this
    /// process may have started too late to see them listed.
    pub fn learn_gone(&mut self, ids: &[Name]) {
        for id in ids.iter().filter(|id| **id != self.me.vm) {
            if !self.vms.contains_key(id) {
                self.gone.insert(id.clone());
            }
        }
    }

    /// Returns whether a process is proven dead: a newer process of the same VM
    /// has answered, or a VM list that would have to contain the VM does not.
    pub fn dead(&self, peer: &Peer) -> bool {
        if *peer == self.me {
            return false;
        }
        if peer.vm == self.me.vm {
            return peer.incarnation < self.me.incarnation;
        }
        let newer = self.members.get(&peer.vm).map(|m| m.peer.incarnation);
        if newer.is_some_and(|n| n > peer.incarnation) {
            return true;
        }
        self.removed(&peer.vm, peer.incarnation)
    }

    /// Returns whether a VM is gone from the list. `since` is a Unix time in
    /// milliseconds at which the VM is known to have existed.
    pub fn removed(&self, vm: &str, since: Millis) -> bool {
        let registered = self.asof > since + REGISTER;
        self.gone.contains(vm) || (registered && !self.vms.contains_key(vm))
    }

    /// Returns whether this VM is gone from the list; it must then not act.
    pub fn expelled(&self) -> bool {
        self.gone.contains(&self.me.vm)
    }

    /// Returns the entry VMs of this failure domain that answer and are neither
    /// shutting down nor being removed, including this process, in order of
    /// preference for `key`.
    pub fn live(&self, key: &str, now: Now) -> Vec<Peer> {
        let fresh =
            |m: &&Member| m.heard + SILENCE >= now.mono && !m.leaving && self.stays(&m.peer.vm);
        let own = |m: &&Member| self.vms.get(&m.peer.vm).is_some_and(|vm| vm.domain == self.domain);
        let others = self.members.values().filter(own).filter(fresh).map(|m| m.peer.clone());
        let mut live: Vec<Peer> = others.collect();
        if self.stays(&self.me.vm) {
            live.push(self.me.clone());
        }
        live.sort_by_key(|peer| std::cmp::Reverse(rendezvous_weight(key, &peer.vm)));
        live
    }

    /// Returns the newest known process of a VM, or None without a heartbeat.
    pub fn member(&self, vm: &str) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Returns the listed VM with this identifier.
    pub fn vm(&self, id: &str) -> Option<&Vm> {
        self.vms.get(id)
    }

    /// Returns the listed VMs of a kind.
    pub fn vms(&self, kind: Kind) -> impl Iterator<Item = &Vm> {
        self.vms.values().filter(move |vm| vm.kind == kind)
    }

    /// Returns the Unix time in milliseconds that the newest list describes; 0
    /// before the first list.
    pub fn asof(&self) -> Millis {
        self.asof
    }

    fn stays(&self, vm: &str) -> bool {
        self.vms.get(vm).is_none_or(|vm| vm.state == VmState::Live) && !self.gone.contains(vm)
    }
}
