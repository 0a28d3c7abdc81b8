use std::{cell::RefCell, net::SocketAddr, time::Duration};

use http::{Client, Result};
use serde_json::Value;

use crate::{
    Acknowledge, Append, Appended, Batch, Listing, Renew, RenewAnswer, Start, StartAnswer, Stop,
    StopAnswer, Throttle, VmList, VmUpdate,
};

/// Records asked for in one read of the log.
const READ_RECORDS: usize = 2000;

/// Client of the log service.
#[derive(Debug, Clone)]
pub struct Log {
    http: Client,
    peer: SocketAddr,
    timeout: Duration,
}

impl Log {
    /// Opens a client; each call ends within `timeout`.
    pub fn open(http: Client, peer: SocketAddr, timeout: Duration) -> Log {
        Log { http, peer, timeout }
    }

    /// Appends records to a stream and returns the offset of the first. After
    /// an error the records may have been appended all the same.
    ///
    /// # Errors
    /// Any [`http::Error`].
    pub async fn append(&self, stream: &str, records: Vec<Value>) -> Result<u64> {
        let path = format!("/v1/streams/{stream}");
        let done: Appended =
            self.http.post(self.peer, &path, &Append { records }, self.timeout).await?;
        Ok(done.offset)
    }

    /// Reads records of a stream from an offset on.
    ///
    /// # Errors
    /// Any [`http::Error`].
    pub async fn read(&self, stream: &str, from: u64) -> Result<Batch> {
        let path = format!("/v1/streams/{stream}?from={from}&max={READ_RECORDS}");
        self.http.get(self.peer, &path, self.timeout).await
    }
}

/// Client of the VM list. It keeps the newest list, so that only its changes are
/// sent.
#[derive(Debug)]
pub struct Vms {
    http: Client,
    peer: SocketAddr,
    timeout: Duration,
    newest: RefCell<Option<VmList>>,
}

impl Vms {
    /// Opens a client; each call ends within `timeout`.
    pub fn open(http: Client, peer: SocketAddr, timeout: Duration) -> Vms {
        Vms { http, peer, timeout, newest: RefCell::new(None) }
    }

    /// Reads the list.
    ///
    /// # Errors
    /// Any [`http::Error`].
    pub async fn list(&self) -> Result<VmList> {
        let known = self.newest.borrow().as_ref().map_or(0, |list| list.version);
        let path = format!("/v1/vms?version={known}");
        let update: VmUpdate = self.http.get(self.peer, &path, self.timeout).await?;
        let mut newest = self.newest.borrow_mut();
        let before = newest.take().map(|list| list.vms).unwrap_or_default();
        let vms = update.vms.unwrap_or(before);
        let list = VmList { asof: update.asof, version: update.version, vms };
        *newest = Some(list.clone());
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
    /// Opens a client; each call ends within `timeout`.
    pub fn open(http: Client, peer: SocketAddr, timeout: Duration) -> Backend {
        Backend { http, peer, timeout }
    }

    /// Starts attempts, in order; one answer for each.
    ///
    /// # Errors
    /// Any [`http::Error`].
    pub async fn start(&self, starts: &[Start]) -> Result<Vec<StartAnswer>> {
        self.http.post(self.peer, "/v1/tasks/start", &starts, self.timeout).await
    }

    /// Extends leases.
    ///
    /// # Errors
    /// Any [`http::Error`].
    pub async fn renew(&self, renew: &Renew) -> Result<RenewAnswer> {
        self.http.post(self.peer, "/v1/tasks/renew", renew, self.timeout).await
    }

    /// Checkpoints an attempt and stops it. May be repeated.
    ///
    /// # Errors
    /// Any [`http::Error`].
    pub async fn stop(&self, stop: &Stop) -> Result<StopAnswer> {
        self.http.post(self.peer, "/v1/tasks/stop", stop, self.timeout).await
    }

    /// Slows a task or lets it run freely.
    ///
    /// # Errors
    /// Any [`http::Error`].
    pub async fn throttle(&self, throttle: &Throttle) -> Result<Value> {
        self.http.post(self.peer, "/v1/tasks/throttle", throttle, self.timeout).await
    }

    /// Lets the server forget ended attempts.
    ///
    /// # Errors
    /// Any [`http::Error`].
    pub async fn acknowledge(&self, done: &Acknowledge) -> Result<Value> {
        self.http.post(self.peer, "/v1/tasks/acknowledge", done, self.timeout).await
    }

    /// Lists attempts and usage.
    ///
    /// # Errors
    /// Any [`http::Error`].
    pub async fn list(&self) -> Result<Listing> {
        self.http.get(self.peer, "/v1/tasks", self.timeout).await
    }
}
