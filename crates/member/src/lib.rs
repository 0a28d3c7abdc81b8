//! Membership: which entry VMs there are, which answer, and which are proven
//! dead. Silence and refused connections prove nothing.

use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name, Now, rendezvous_weight};
use cell::Peer;
use plat::{Kind, Vm, VmList, VmState};

/// Time after which a VM that has been created shows up in the list at the
/// latest, by the list's own time.
pub const REGISTER: Millis = 120_000;
/// Time without a heartbeat after which an entry VM gets no new role.
pub const SILENCE: Millis = 1000;

/// One entry VM as heard of directly.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its newest process.
    pub peer: Peer,
    /// When it last answered, on the monotonic clock.
    pub heard: Millis,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// The table of VMs.
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
    /// A table that knows only this process.
    pub fn open(me: Peer, domain: Name) -> Members {
        let (vms, members) = (BTreeMap::new(), BTreeMap::new());
        Members { me, domain, vms, asof: 0, gone: BTreeSet::new(), members }
    }

    /// Takes in a VM list; one older than the newest is passed over. Whether it
    /// was taken in.
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

    /// Takes in a sign of life of a process.
    pub fn on_beat(&mut self, peer: &Peer, leaving: bool, now: Now) {
        let known = self.members.get(&peer.vm);
        if known.is_some_and(|m| m.peer.incarnation > peer.incarnation) {
            return;
        }
        let member = Member { peer: peer.clone(), heard: now.mono, leaving };
        self.members.insert(peer.vm.clone(), member);
    }

    /// VMs that have been seen in the list and then not any more.
    pub fn gone(&self) -> impl Iterator<Item = &Name> {
        self.gone.iter()
    }

    /// Takes in what another process has seen vanish from the list: this one
    /// may have started too late to have seen it there.
    pub fn learn_gone(&mut self, ids: &[Name]) {
        for id in ids.iter().filter(|id| **id != self.me.vm) {
            if !self.vms.contains_key(id) {
                self.gone.insert(id.clone());
            }
        }
    }

    /// Whether a process cannot be running any more: a newer one of the same
    /// VM has answered, or a VM list that must have it does not.
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

    /// Whether a VM is gone from the list. `since` is a Unix time at which it
    /// is known to have existed.
    pub fn removed(&self, vm: &str, since: Millis) -> bool {
        let registered = self.asof > since + REGISTER;
        self.gone.contains(vm) || (registered && !self.vms.contains_key(vm))
    }

    /// Whether the list says that this very VM is gone; it must then not act.
    pub fn expelled(&self) -> bool {
        self.gone.contains(&self.me.vm)
    }

    /// Entry VMs of the own failure domain that answer and stay, this process
    /// too, the first choice for `key` first.
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

    /// The newest process known of a VM.
    pub fn member(&self, vm: &str) -> Option<&Member> {
        self.members.get(vm)
    }

    /// The VM of an identifier.
    pub fn vm(&self, id: &str) -> Option<&Vm> {
        self.vms.get(id)
    }

    /// Every VM of a kind.
    pub fn vms(&self, kind: Kind) -> impl Iterator<Item = &Vm> {
        self.vms.values().filter(move |vm| vm.kind == kind)
    }

    /// The moment that the newest list describes, in Unix milliseconds.
    pub fn asof(&self) -> Millis {
        self.asof
    }

    fn stays(&self, vm: &str) -> bool {
        self.vms.get(vm).is_none_or(|vm| vm.state == VmState::Live) && !self.gone.contains(vm)
    }
}
