//! Simulated network, which may reorder, delay, duplicate or lose messages.

use base::{Name, Now};
use cell::{Sync, SyncReply, settle};
use plat::{Listing, LoadReport, Renew, Start, StartAnswer, Stop, StopAnswer};

use crate::sim::{Sim, VMS, vm::State};

/// Message between two nodes; backend servers are numbered from 10.
#[derive(Clone)]
pub(crate) struct Message {
    pub(crate) from: usize,
    pub(crate) to: usize,
    /// Incarnation of the entry VM that sent the request; a reply to another
    /// incarnation is dropped.
    pub(crate) incarnation: u64,
    pub(crate) body: Body,
}

#[derive(Clone)]
pub(crate) enum Body {
    Sync(Box<Sync>),
    Reply(SyncReply),
    Start(Start),
    Started(Start, StartAnswer),
    Stop(Stop),
    Stopped(Stop, StopAnswer),
    Renew(Renew),
    List(Now),
    Listing(Now, Box<Listing>),
}

impl Sim {
    /// Delivers up to four messages, mostly the oldest ones.
    pub(crate) fn deliver_some(&mut self) {
        for _ in 0..self.choose(5) {
            if self.net.is_empty() {
                return;
            }
            let late = self.choose(4) == 0;
            let at = if late { self.choose(self.net.len()) } else { 0 };
            self.deliver(at);
        }
    }

    /// Drops a message.
    pub(crate) fn drop_message(&mut self) {
        let at = self.choose(self.net.len());
        self.net.remove(at);
    }

    /// Duplicates a message.
    pub(crate) fn duplicate_message(&mut self) {
        let at = self.choose(self.net.len());
        if let Some(message) = self.net.get(at).cloned() {
            self.net.push_back(message);
        }
    }

    pub(crate) fn deliver(&mut self, at: usize) {
        let Some(message) = self.net.remove(at) else { return };
        if self.cuts.contains(&(message.from, message.to)) {
            return;
        }
        if message.to >= 10 {
            return self.on_backend_message(message);
        }
        match self.vms[message.to].state {
            State::Dead => {}
            State::Frozen => self.vms[message.to].inbox.push(message),
            State::Up => self.on_vm_message(message),
        }
    }

    fn on_backend_message(&mut self, message: Message) {
        let b = message.to - 10;
        if self.crashed[b].is_some() {
            return;
        }
        let now = self.true_now();
        let runs = &mut self.backends[b];
        let body = match message.body {
            Body::Start(start) => {
                let reply = runs.start(&start, now);
                Body::Started(start, reply)
            }
            Body::Stop(stop) => {
                let reply = runs.stop(&stop, now);
                Body::Stopped(stop, reply)
            }
            Body::Renew(renew) => {
                runs.renew(&renew, now);
                return;
            }
            Body::List(requested) => {
                runs.advance(now);
                let listing = Listing {
                    incarnation: 1,
                    leaving: false,
                    tasks: runs.reports(),
                    usage: LoadReport::default(),
                };
                Body::Listing(requested, Box::new(listing))
            }
            _ => return,
        };
        let (from, to) = (message.to, message.from);
        self.net.push_back(Message { from, to, incarnation: message.incarnation, body });
    }

    /// Delivers a message to an entry VM that is up.
    pub(crate) fn on_vm_message(&mut self, message: Message) {
        let i = message.to;
        let sync = matches!(message.body, Body::Sync(_));
        if !sync && message.incarnation != self.vms[i].peer().incarnation {
            return;
        }
        let backend = Name::from(format!("b{}", message.from.wrapping_sub(10)));
        let now = self.vms[i].now(self.now);
        match message.body {
            Body::Sync(sync) => self.on_sync(i, message.from, message.incarnation, *sync),
            Body::Reply(reply) => {
                self.vms[i].cell.on_reply(&reply, now);
                let actions = self.vms[i].cell.flush(now);
                self.perform(i, actions);
            }
            Body::Started(start, reply) => self.vms[i].started(&start, reply, now),
            Body::Stopped(stop, reply) => self.vms[i].stopped(&stop, &backend, reply, now),
            Body::Listing(requested, listing) => {
                let settled = settle(&mut self.vms[i].cell, &backend, &listing, requested, now);
                for (task, attempt) in settled.stops {
                    let stop = Stop { task, attempt, checkpoint: true };
                    self.send(i, message.from, Body::Stop(stop));
                }
            }
            _ => {}
        }
    }

    fn on_sync(&mut self, i: usize, from: usize, incarnation: u64, sync: Sync) {
        let reply = self.with_world(i, |vm, world| vm.cell.on_sync(sync, world));
        self.note(|| format!("{i} replies to {from}: {:?} seq {}", reply.verdict, reply.seq));
        let body = Body::Reply(reply);
        self.net.push_back(Message { from: i, to: from, incarnation, body });
    }

    /// Sends a message of an entry VM, tagged with its incarnation.
    pub(crate) fn send(&mut self, from: usize, to: usize, body: Body) {
        debug_assert!(from < VMS);
        let incarnation = self.vms[from].peer().incarnation;
        self.net.push_back(Message { from, to, incarnation, body });
    }
}
