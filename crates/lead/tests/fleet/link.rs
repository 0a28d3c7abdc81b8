//! A relay between the leader of a fleet and one of its workers.

use base::{Millis, Name};
use port::{Poll, PollReply, RunStatus, Start, WorkerError};
use relay::{Accepted, Dispatcher, Relay, Report, WorkerCommand};

use super::{Fleet, Sent};

/// Duration of the leases that a relay grants.
const LEASE: Millis = 5_000;
/// Time for which the leader may decide without further contact.
const VALID: Millis = 1_500;
/// Amount by which the relay's clock is ahead of the leader's.
const SKEW: Millis = 70_000;

pub(crate) struct Link {
    worker: Name,
    dispatcher: Dispatcher,
    relay: Relay,
    session: u64,
}

impl Link {
    /// Opens a session whose first orders arrive now, `transit` after they were sent, and
    /// delivers the first report.
    pub(crate) fn open(fleet: &mut Fleet, id: &Name, transit: Millis) -> Link {
        let state = fleet.lead.relayed_worker(id, fleet.now()).expect("a known worker");
        let mut dispatcher = Dispatcher::new("leader".into(), fleet.lead.epoch, LEASE);
        dispatcher.assign(&"relay".into(), vec![state], fleet.now - transit);
        let session = dispatcher.ready()[0];
        let mut link = Link { worker: id.clone(), dispatcher, relay: Relay::default(), session };
        link.order(fleet);
        link.exchange(fleet);
        link
    }

    /// Delivers the orders that wait.
    fn order(&mut self, fleet: &Fleet) -> Accepted {
        let (_, orders) = self.dispatcher.take_orders(self.session).expect("there are orders");
        self.relay.on_orders(orders, fleet.now + SKEW).expect("they are accepted")
    }

    pub(crate) fn take_report(&mut self, fleet: &Fleet) -> Report {
        self.relay.take_report(fleet.now + SKEW).expect("a report is due").1
    }

    /// Delivers a report and the leader's reply.
    pub(crate) fn deliver(&mut self, fleet: &mut Fleet, report: Report) {
        let (received, reply) = self.dispatcher.on_report(report.clone(), VALID, fleet.now);
        let time = fleet.time();
        fleet.lead.on_report(received, time);
        self.relay.on_report_reply(&report, Some(reply), fleet.now + SKEW);
    }

    /// Delivers the report that is due.
    pub(crate) fn exchange(&mut self, fleet: &mut Fleet) {
        let report = self.take_report(fleet);
        self.deliver(fleet, report);
    }

    /// Has the relay carry a start command, which the worker confirms, and report that.
    pub(crate) fn start(&mut self, fleet: &mut Fleet, sent: &Sent) {
        let worker = fleet.lead.workers[&sent.0].addr();
        self.dispatcher.send(worker, WorkerCommand::Start(sent.1.clone()));
        let number = self.order(fleet).commands[0].0;
        self.relay.on_reply(self.session, number, Ok(fleet.now));
        self.exchange(fleet);
    }

    /// Has the relay poll the worker, which lists one run.
    pub(crate) fn list(&mut self, fleet: &Fleet, start: &Start) -> Poll {
        let row = RunStatus {
            task: start.task.clone(),
            run: start.run,
            checkpoint: "".into(),
            percent: 10,
            metric: 0,
        };
        let incarnation = Some(fleet.lead.workers[&self.worker].info.incarnation);
        let running = vec![row];
        let completions = Vec::new();
        self.poll(fleet, Ok(PollReply { clock: fleet.now, incarnation, running, completions }))
    }

    /// Has the relay poll the worker, whose present incarnation lists no runs.
    pub(crate) fn list_none(&mut self, fleet: &Fleet, incarnation: u64) -> Poll {
        let (incarnation, running, completions) = (Some(incarnation), Vec::new(), Vec::new());
        self.poll(fleet, Ok(PollReply { clock: fleet.now, incarnation, running, completions }))
    }

    /// Has the relay poll the worker, which may have got the poll and does not reply.
    pub(crate) fn fail(&mut self, fleet: &Fleet) -> Poll {
        self.poll(fleet, Err(WorkerError::InDoubt("timeout".into())))
    }

    fn poll(&mut self, fleet: &Fleet, reply: Result<PollReply, WorkerError>) -> Poll {
        let (session, local) = (self.session, fleet.now + SKEW);
        let polled = self.relay.poll(session, &self.worker, false, local);
        let poll = polled.expect("the worker is assigned").1;
        self.relay.on_poll(session, &self.worker, local, &poll, reply, local);
        poll
    }

    /// Has the leader give the relay up.
    pub(crate) fn close(&mut self, fleet: &mut Fleet) {
        let closed = self.dispatcher.close(self.session, None, "silent");
        let time = fleet.time();
        fleet.lead.on_relay_closed(&self.worker, closed.granted_until, time);
    }
}
