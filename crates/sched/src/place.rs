use std::collections::BTreeMap;

use base::{Millis, Name, Size};
use cell::{Job, ServerState};

use crate::View;

/// Time before a VM goes back in which its tasks are moved away.
const RETURN_MARGIN: Millis = 60_000;
/// Weight of time added to requests against time added to tasks.
const SERVICE_WEIGHT: f64 = 4.0;
/// Time added to requests, as a fraction, from which a kind counts as noisy.
const NOISE: f64 = 0.05;

/// What is free on the servers that take work.
pub(crate) struct Rooms {
    rooms: BTreeMap<Name, Room>,
    largest: Size,
    sizes: Vec<Size>,
}

struct Room {
    free: Size,
    size: Size,
    until: Option<Millis>,
    kinds: Vec<Name>,
}

/// A server chosen for a task.
pub(crate) struct Choice {
    pub(crate) backend: Name,
    pub(crate) candidates: usize,
    pub(crate) why: String,
}

impl Rooms {
    pub(crate) fn open(view: &View<'_>) -> Rooms {
        let reserve = view.document.reserve();
        let committed = view.table.commitments();
        let mut rooms = BTreeMap::new();
        let mut sizes = Vec::new();
        for server in view.servers.values() {
            if server.state != ServerState::Gone {
                sizes.push(server.size.minus(reserve));
            }
            let shunned = view.policy.shun && view.now.mono < server.shunned;
            if !server.usable(view.now.unix) || shunned {
                continue;
            }
            let held = committed.get(&server.id).copied().unwrap_or_default();
            let taken = held.plus(server.foreign).plus(reserve);
            let free = server.size.minus(taken);
            let room = Room { free, size: server.size, until: server.until, kinds: Vec::new() };
            rooms.insert(server.id.clone(), room);
        }
        for task in view.table.tasks.values() {
            let Some(room) = task.backend().and_then(|b| rooms.get_mut(b)) else { continue };
            if let Some(job) = view.table.job(task) {
                room.kinds.push(job.kind.clone());
            }
        }
        let largest = sizes.iter().fold(Size::ZERO, |l, s| Size {
            cpu: l.cpu.max(s.cpu),
            memory: l.memory.max(s.memory),
            accel: l.accel.max(s.accel),
        });
        Rooms { rooms, largest, sizes }
    }

    /// Why a size can never be placed on this cell's servers.
    pub(crate) fn never(&self, size: Size) -> Option<String> {
        if self.sizes.is_empty() || self.sizes.iter().any(|s| size.fits(*s)) {
            return None;
        }
        Some(format!("needs {size}, no server of the cell offers more than {}", self.largest))
    }

    /// The best server for a task of a job.
    pub(crate) fn choose(
        &self,
        view: &View<'_>,
        job: &Job,
        barred: &dyn Fn(&Name) -> bool,
    ) -> Option<Choice> {
        let ends = view.now.unix + view.learn.expect(&job.kind, job.work);
        let stays = |room: &Room| {
            let back = room.until.filter(|_| view.policy.returns);
            back.is_none_or(|until| ends + RETURN_MARGIN <= until)
        };
        let fits =
            |(id, room): &(&Name, &Room)| job.size.fits(room.free) && stays(room) && !barred(id);
        let mut open = self.rooms.iter().filter(fits);
        if !view.policy.pairs {
            let (backend, _) = open.next()?;
            return Some(Choice {
                backend: backend.clone(),
                candidates: self.rooms.len(),
                why: "first fit".to_owned(),
            });
        }
        let scored = open.map(|(id, room)| (id, cost(view, job, room)));
        let mut candidates = 0;
        let best = scored.inspect(|_| candidates += 1).min_by(|a, b| a.1.total_cmp(&b.1));
        let (backend, cost) = best?;
        let why = format!("least cost {cost:.3}");
        Some(Choice { backend: backend.clone(), candidates, why })
    }

    /// Takes the room of a task.
    pub(crate) fn commit(&mut self, backend: &Name, job: &Job) {
        if let Some(room) = self.rooms.get_mut(backend) {
            room.free = room.free.minus(job.size);
            room.kinds.push(job.kind.clone());
        }
    }

    /// The server that is expected to have room for a size first, and when, in
    /// Unix milliseconds.
    pub(crate) fn soonest(&self, view: &View<'_>, size: Size) -> Option<(Name, Millis)> {
        let mut ends: BTreeMap<&Name, Vec<(Millis, Size)>> = BTreeMap::new();
        for task in view.table.tasks.values() {
            let Some(backend) = task.backend() else { continue };
            let Some(job) = view.table.job(task) else { continue };
            let left = view.learn.expect(&job.kind, job.work).saturating_sub(task.checkpoint);
            ends.entry(backend).or_default().push((task.since + left, job.size));
        }
        let mut best: Option<(Name, Millis)> = None;
        for (id, room) in &self.rooms {
            let Some(at) = free_at(room, size, ends.get(id)) else { continue };
            if best.as_ref().is_none_or(|(_, b)| at < *b) {
                best = Some((id.clone(), at));
            }
        }
        best
    }
}

/// When tasks that end one after the other leave room for a size.
fn free_at(room: &Room, size: Size, ends: Option<&Vec<(Millis, Size)>>) -> Option<Millis> {
    let mut ends = ends.cloned().unwrap_or_default();
    ends.sort_unstable_by_key(|(at, _)| *at);
    let mut free = room.free;
    for (at, size_of) in ends {
        free = free.plus(size_of);
        if size.fits(free) {
            return Some(at);
        }
    }
    None
}

/// Cost of a place: time that the task adds to the service and its neighbours
/// and they to it, then how full the server gets.
fn cost(view: &View<'_>, job: &Job, room: &Room) -> f64 {
    let learn = view.learn;
    let noise = learn.excess("service", &job.kind);
    let mut cost = 0.0;
    let mut noisy = false;
    for kind in &room.kinds {
        cost += learn.excess(&job.kind, kind) + learn.excess(kind, &job.kind);
        noisy |= learn.excess("service", kind) > NOISE;
    }
    // Work that slows the service is kept together, so that requests have
    // servers to go to without it.
    if noise > NOISE && !noisy {
        cost += SERVICE_WEIGHT * noise;
    }
    let free = room.free.minus(job.size);
    cost + 0.05 * free.cpu as f64 / room.size.cpu.max(1) as f64
}
