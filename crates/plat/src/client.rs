use std::{cell::RefCell, net::SocketAddr, time::Duration};

use http::{Client, Result};
use serde_json::Value;

use crate::{
    Acknowledge, Append, Appended, Batch, Listing, Renew, RenewAnswer, Start, StartAnswer, Stop,
    StopAnswer, Throttle, VmList, VmUpdate,
};

/// Maximum number of records returned by one read of the log.
const MAX_READ_RECORDS: usize = 2000;

/// Client of the log service.
#[derive(Debug, Clone)]
pub struct Log {
    http: Client,
    peer: SocketAddr,
    timeout: Duration,
}

impl Log {
    /// Creates a client whose requests take at most `timeout` each.
    pub fn new(http: Client, peer: SocketAddr, timeout: Duration) -> Log {
        Log { http, peer, timeout }
    }

    /// Appends records to a stream and returns the offset of the first. After
    /// an error the records may have been appended nevertheless.
    ///
    /// # Errors
    /// Any [`http::Error`].
    pub async fn append(&self, stream: &str, records: Vec<Value>) -> Result<u64> {
        let path = format!("/v1/streams/{stream}");
        let appended: Appended =
            self.http.post(self.peer, &path, &Append { records }, self.timeout).await?;
        Ok(appended.offset)
    }

    /// Reads records of a stream, beginning at offset `from`.
    ///
    /// # Errors
    /// Any [`http::Error`].
    pub async fn read(&self, stream: &str, from: u64) -> Result<Batch> {
        let path = format!("/v1/streams/{stream}?from={from}&max={MAX_READ_RECORDS}");
        self.http.get(self.peer, &path, self.timeout).await
    }
}

/// Client of the VM list. It keeps the latest list, so that the service need not
/// send the VMs again while the version is the same.
#[derive(Debug)]
pub struct Vms {
    http: Client,
    peer: SocketAddr,
    timeout: Duration,
    latest: RefCell<Option<VmList>>,
}

impl Vms {
    /// Creates a client whose requests take at most `timeout` each.
    pub fn new(http: Client, peer: SocketAddr, timeout: Duration) -> Vms {
        Vms { http, peer, timeout, latest: RefCell::new(None) }
    }

    /// Returns the current list.
    ///
    /// # Errors
    /// Any [`http::Error`].
    pub async fn list(&self) -> Result<VmList> {
        let known = self.latest.borrow().as_ref().map_or(0, |list| list.version);
        let path = format!("/v1/vms?version={known}");
        let update: VmUpdate = self.http.get(self.peer, &path, self.timeout).await?;
        let mut latest = self.latest.borrow_mut();
        let previous = latest.take().map(|list| list.vms).unwrap_or_default();
        let vms = update.vms.unwrap_or(previous);
        let list = VmList { asof: update.asof, version: update.version, vms };
        *latest = Some(list.clone());
        Ok(list)
    }
}

/// Client of the control interface of one backend server.
#[derive(Debug, Clone)]
pub struct Backend {
    http: Client,
    peer: SocketAddr,
    timeout: Duration,
}

impl Backend {
    /// Creates a client whose requests take at most `timeout` each.
    pub fn new(http: Client, peer: SocketAddr, timeout: Duration) -> Backend {
        Backend { http, peer, timeout }
    }

    /// Starts attempts and returns one answer for each, in the same order.
    ///
    /// # Errors
    /// Any [`http::Error`].
    pub async fn start(&self, starts: &[Start]) -> Result<Vec<StartAnswer>> {
        self.http.post(self.peer, "/v1/tasks/start", &starts, self.timeout).await
    }

    /// Extends the leases of attempts and returns those that do not run.
    ///
    /// # Errors
    /// Any [`http::Error`].
    pub async fn renew(&self, renew: &Renew) -> Result<RenewAnswer> {
        self.http.post(self.peer, "/v1/tasks/renew", renew, self.timeout).await
    }

    /// Stops an attempt, after a checkpoint if `stop` asks for one. Repeating it has no
    /// further effect.
    ///
    /// # Errors
    /// Any [`http::Error`].
    pub async fn stop(&self, stop: &Stop) -> Result<StopAnswer> {
        self.http.post(self.peer, "/v1/tasks/stop", stop, self.timeout).await
    }

    /// Sets the speed of an attempt.
    ///
    /// # Errors
    /// Any [`http::Error`].
    pub async fn throttle(&self, throttle: &Throttle) -> Result<Value> {
        self.http.post(self.peer, "/v1/tasks/throttle", throttle, self.timeout).await
    }

    /// Tells the server which ended attempts it may forget.
    ///
    /// # Errors
    /// Any [`http::Error`].
    pub async fn acknowledge(&self, done: &Acknowledge) -> Result<Value> {
        self.http.post(self.peer, "/v1/tasks/acknowledge", done, self.timeout).await
    }

    /// Returns the attempts that the server knows, and their usage.
    ///
    /// # Errors
    /// Any [`http::Error`].
    pub async fn list(&self) -> Result<Listing> {
        self.http.get(self.peer, "/v1/tasks", self.timeout).await
    }
}
