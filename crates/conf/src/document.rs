use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name, Size};
use serde::{Deserialize, Serialize};

use crate::{
    Error, Fault,
    error::{FaultsSnafu, JsonSnafu},
};

/// What operators want, published and in force as a whole.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Failure domains with their regions.
    pub domains: BTreeMap<Name, Name>,
    /// Services that answer callers' requests.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Kinds of batch jobs.
    #[serde(default)]
    pub kinds: Vec<JobKind>,
    /// Teams with their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// VMs rented for the day that go back at a known time.
    #[serde(default)]
    pub rentals: Vec<Rental>,
}

/// A latency-critical service, which runs on every backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Latency target in milliseconds.
    pub target_ms: Millis,
    /// Requests that one backend server runs at once.
    pub slots: u32,
    /// Connections that one backend server takes.
    pub connections: u32,
    /// Resources kept for it on every backend server.
    pub reserve: Size,
}

/// How soon a job has to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Within 5.6 s.
    Urgent,
    /// By its team's share.
    Normal,
}

/// A kind of batch job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobKind {
    /// Its name.
    pub name: Name,
    /// Declared size of one task.
    pub size: Size,
    /// Declared run time of one task in milliseconds.
    pub work_ms: Millis,
    /// How soon its tasks have to start.
    pub class: Class,
    /// Attempts that may fail before the task is given up.
    pub attempts: u32,
}

/// A team that submits jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name.
    pub name: Name,
    /// Share of free capacity relative to other teams.
    pub weight: u32,
    /// Most that its running tasks may hold together.
    pub quota: Size,
}

/// A rented VM that goes back.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rental {
    /// VM identifier.
    pub vm: Name,
    /// When it goes back, in Unix milliseconds.
    pub until_ms: Millis,
}

/// Most entries of one list of a document.
const MAX_ENTRIES: usize = 5000;

impl Document {
    /// Reads and checks a document. `largest` is the greatest VM known, beyond
    /// which no size can be placed; with `None` sizes have no upper bound.
    ///
    /// # Errors
    /// [`Error::Json`], or [`Error::Faults`] with every fault.
    pub fn parse(text: &str, largest: Option<Size>) -> Result<Document, Error> {
        let document: Document =
            serde_json::from_str(text).map_err(|e| JsonSnafu { reason: e.to_string() }.build())?;
        document.check(largest)?;
        Ok(document)
    }

    /// Checks a document; see [`Document::parse`].
    ///
    /// # Errors
    /// [`Error::Faults`] with every fault.
    pub fn check(&self, largest: Option<Size>) -> Result<(), Error> {
        let mut faults = Vec::new();
        self.check_domains(&mut faults);
        self.check_services(largest, &mut faults);
        self.check_kinds(largest, &mut faults);
        self.check_teams(&mut faults);
        unique("rentals", self.rentals.iter().map(|r| &r.vm), &mut faults);
        if faults.is_empty() {
            return Ok(());
        }
        FaultsSnafu { path: "document", faults }.fail()
    }

    /// The service of a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| &*s.name == name)
    }

    /// The kind of a name.
    pub fn kind(&self, name: &str) -> Option<&JobKind> {
        self.kinds.iter().find(|k| &*k.name == name)
    }

    /// The team of a name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| &*t.name == name)
    }

    /// Resources kept for services on every backend server.
    pub fn reserve(&self) -> Size {
        self.services.iter().fold(Size::ZERO, |sum, s| sum.plus(s.reserve))
    }

    fn check_domains(&self, faults: &mut Vec<Fault>) {
        if self.domains.is_empty() {
            faults.push(Fault::new("domains", "", "none", "name at least one failure domain"));
        }
        for (domain, region) in &self.domains {
            if domain.is_empty() || region.is_empty() {
                let mend = "give the failure domain and its region a name";
                faults.push(Fault::new("domains", &**domain, "empty name", mend));
            }
        }
    }

    fn check_services(&self, largest: Option<Size>, faults: &mut Vec<Fault>) {
        unique("services", self.services.iter().map(|s| &s.name), faults);
        for service in &self.services {
            let section = format!("services.{}", service.name);
            positive(&section, "target_ms", service.target_ms, faults);
            positive(&section, "slots", service.slots.into(), faults);
            positive(&section, "connections", service.connections.into(), faults);
            if service.connections < service.slots {
                let wrong = "fewer connections than slots";
                faults.push(Fault::new(&section, "connections", wrong, "raise it to slots"));
            }
            placeable(&section, "reserve", service.reserve, largest, faults);
        }
    }

    fn check_kinds(&self, largest: Option<Size>, faults: &mut Vec<Fault>) {
        unique("kinds", self.kinds.iter().map(|k| &k.name), faults);
        let room = largest.map(|size| size.minus(self.reserve()));
        for kind in &self.kinds {
            let section = format!("kinds.{}", kind.name);
            placeable(&section, "size", kind.size, room, faults);
            positive(&section, "work_ms", kind.work_ms, faults);
            positive(&section, "attempts", kind.attempts.into(), faults);
        }
    }

    fn check_teams(&self, faults: &mut Vec<Fault>) {
        unique("teams", self.teams.iter().map(|t| &t.name), faults);
        for team in &self.teams {
            let section = format!("teams.{}", team.name);
            positive(&section, "weight", team.weight.into(), faults);
            placeable(&section, "quota", team.quota, None, faults);
        }
    }
}

fn positive(section: &str, key: &str, value: u64, faults: &mut Vec<Fault>) {
    if value == 0 {
        faults.push(Fault::new(section, key, "zero", "write a whole number above zero"));
    }
}

fn placeable(section: &str, key: &str, size: Size, largest: Option<Size>, faults: &mut Vec<Fault>) {
    if size.cpu == 0 || size.memory == 0 {
        let mend = "give cpu in thousandths of a core and memory in MB, both above zero";
        faults.push(Fault::new(section, key, "zero size", mend));
    }
    if let Some(room) = largest
        && !size.fits(room)
    {
        let wrong = format!("{size} fits on no VM, the largest has {room} free");
        faults.push(Fault::new(section, key, wrong, "lower it"));
    }
}

fn unique<'a>(section: &str, names: impl Iterator<Item = &'a Name>, faults: &mut Vec<Fault>) {
    let mut seen = BTreeSet::new();
    for (i, name) in names.enumerate() {
        if name.is_empty() {
            faults.push(Fault::new(section, i.to_string(), "empty name", "name it"));
        }
        if !seen.insert(name) {
            faults.push(Fault::new(section, &**name, "named twice", "remove one of them"));
        }
        if i == MAX_ENTRIES {
            let wrong = format!("more than {MAX_ENTRIES} entries");
            faults.push(Fault::new(section, "", wrong, "remove some"));
        }
    }
}
