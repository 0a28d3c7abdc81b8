//! Placement of jobs: the cell that runs each of them.

use base::{Millis, Name, now, rendezvous_weight};
use cell::{Cell, JOB_KEY, Outcome};
use conf::Class;
use serde::{Deserialize, Serialize};
use wire::msg::Enter;

use crate::node::Node;

/// Cell chosen for a job. It is stored as the outcome of the job's key.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Home {
    /// Cell that runs the job.
    pub(crate) cell: Name,
    /// Time of the choice in Unix milliseconds.
    pub(crate) at: Millis,
}

impl Home {
    /// Decodes the outcome of a job's key. Returns `None` if it is malformed.
    pub(crate) fn parse(body: &[u8]) -> Option<Home> {
        serde_json::from_slice(body).ok()
    }
}

/// Chooses the cell of a new job. The choice is recorded as the outcome of the
/// job's key, so that a repeated submission gets the same cell.
pub(crate) fn choose_cell(node: &Node, enter: &Enter) -> Outcome {
    let state = node.state.borrow();
    let kind = enter.service.strip_prefix(JOB_KEY).and_then(|k| state.config.document.kind(k));
    let size = kind.map(|k| k.size).unwrap_or_default();
    let reserve = state.config.document.reserve();
    let fits = |cell: &&Cell| cell.servers.values().any(|s| size.fits(s.size.minus(reserve)));
    let with_servers = || state.cells.values().filter(|cell| !cell.servers.is_empty());
    let urgent = kind.is_some_and(|k| k.class == Class::Urgent);
    let best = |a: &&Cell, b: &&Cell| {
        let weight = |c: &Cell| rendezvous_weight(&enter.key, &c.id);
        weight(a).cmp(&weight(b))
    };
    let owned = |cell: &&Cell| !urgent || cell.record.is_some();
    let chosen = with_servers().filter(fits).filter(owned).max_by(best);
    match chosen.or_else(|| with_servers().max_by(best)) {
        Some(cell) => {
            let home = Home { cell: cell.id.clone(), at: now().unix };
            let body = serde_json::to_vec(&home).unwrap_or_default();
            Outcome::Answer { status: 200, body }
        }
        None => Outcome::NotRun,
    }
}
