use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name, Size};
use serde::{Deserialize, Serialize};

use crate::{
    Error, Fault,
    error::{FaultsSnafu, JsonSnafu},
};

/// The operators' configuration of a fleet, published and replaced as a whole.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Region of each failure domain, by the name of the domain.
    pub domains: BTreeMap<Name, Name>,
    /// Latency-critical services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Kinds of batch jobs.
    #[serde(default)]
    pub kinds: Vec<JobKind>,
    /// Teams with their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// VMs that are rented until a known time.
    #[serde(default)]
    pub rentals: Vec<Rental>,
}

/// A latency-critical service, which runs on every backend server and answers callers' requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique among the services.
    pub name: Name,
    /// Latency target of a request, in milliseconds.
    pub target_ms: Millis,
    /// Requests that one backend server processes concurrently.
    pub slots: u32,
    /// Connections that one backend server accepts, at least as many as `slots`.
    pub connections: u32,
    /// Resources reserved for the service on every backend server.
    pub reserve: Size,
}

/// How soon the tasks of a job have to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Within 5.6 s.
    Urgent,
    /// According to its team's share of the free capacity.
    Normal,
}

/// A kind of batch job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobKind {
    /// Name, unique among the kinds.
    pub name: Name,
    /// Declared size of one task.
    pub size: Size,
    /// Declared run time of one task, in milliseconds.
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
    /// Name, unique among the teams.
    pub name: Name,
    /// Share of the free capacity, relative to the weights of other teams.
    pub weight: u32,
    /// Upper bound on the total size of its running tasks.
    pub quota: Size,
}

/// A VM that is rented until a known time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rental {
    /// VM identifier.
    pub vm: Name,
    /// End of the rental, in Unix milliseconds.
    pub until_ms: Millis,
}

/// Maximum number of entries in one list of a document.
const MAX_ENTRIES: usize = 5000;

impl Document {
    /// Parses and checks a document. `largest` is the size of the largest known VM;
    /// sizes that do not fit on it are faults. With `None`, sizes have no upper bound.
    ///
    /// # Errors
    /// [`Error::Json`], or [`Error::Faults`] with every fault.
    pub fn parse(text: &str, largest: Option<Size>) -> Result<Document, Error> {
        let document: Document =
            serde_json::from_str(text).map_err(|e| JsonSnafu { reason: e.to_string() }.build())?;
        document.check(largest)?;
        Ok(document)
    }

    /// Checks this document; `largest` is as in [`Document::parse`].
    ///
    /// # Errors
    /// [`Error::Faults`] with every fault.
    pub fn check(&self, largest: Option<Size>) -> Result<(), Error> {
        let mut faults = Vec::new();
        self.check_domains(&mut faults);
        self.check_services(largest, &mut faults);
        self.check_kinds(largest, &mut faults);
        self.check_teams(&mut faults);
        check_names("rentals", self.rentals.iter().map(|r| &r.vm), &mut faults);
        if faults.is_empty() {
            return Ok(());
        }
        FaultsSnafu { path: "document", faults }.fail()
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| &*s.name == name)
    }

    /// Returns the kind of job with this name.
    pub fn kind(&self, name: &str) -> Option<&JobKind> {
        self.kinds.iter().find(|k| &*k.name == name)
    }

    /// Returns the team with this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| &*t.name == name)
    }

    /// Returns the resources reserved for all services together on every backend server.
    pub fn reserve(&self) -> Size {
        self.services.iter().fold(Size::ZERO, |sum, s| sum.plus(s.reserve))
    }

    fn check_domains(&self, faults: &mut Vec<Fault>) {
        if self.domains.is_empty() {
            faults.push(Fault::new("domains", "", "none", "name at least one failure domain"));
        }
        for (domain, region) in &self.domains {
            if domain.is_empty() || region.is_empty() {
                let hint = "give the failure domain and its region a name";
                faults.push(Fault::new("domains", &**domain, "empty name", hint));
            }
        }
    }

    fn check_services(&self, largest: Option<Size>, faults: &mut Vec<Fault>) {
        check_names("services", self.services.iter().map(|s| &s.name), faults);
        for service in &self.services {
            let section = format!("services.{}", service.name);
            check_positive(&section, "target_ms", service.target_ms, faults);
            check_positive(&section, "slots", service.slots.into(), faults);
            check_positive(&section, "connections", service.connections.into(), faults);
            if service.connections < service.slots {
                let problem = "fewer connections than slots";
                faults.push(Fault::new(&section, "connections", problem, "raise it to slots"));
            }
            check_size(&section, "reserve", service.reserve, largest, faults);
        }
    }

    fn check_kinds(&self, largest: Option<Size>, faults: &mut Vec<Fault>) {
        check_names("kinds", self.kinds.iter().map(|k| &k.name), faults);
        let free = largest.map(|size| size.minus(self.reserve()));
        for kind in &self.kinds {
            let section = format!("kinds.{}", kind.name);
            check_size(&section, "size", kind.size, free, faults);
            check_positive(&section, "work_ms", kind.work_ms, faults);
            check_positive(&section, "attempts", kind.attempts.into(), faults);
        }
    }

    fn check_teams(&self, faults: &mut Vec<Fault>) {
        check_names("teams", self.teams.iter().map(|t| &t.name), faults);
        for team in &self.teams {
            let section = format!("teams.{}", team.name);
            check_positive(&section, "weight", team.weight.into(), faults);
            check_size(&section, "quota", team.quota, None, faults);
        }
    }
}

fn check_positive(section: &str, key: &str, value: u64, faults: &mut Vec<Fault>) {
    if value == 0 {
        faults.push(Fault::new(section, key, "zero", "write a whole number above zero"));
    }
}

fn check_size(
    section: &str,
    key: &str,
    size: Size,
    largest: Option<Size>,
    faults: &mut Vec<Fault>,
) {
    if size.cpu == 0 || size.memory == 0 {
        let hint = "give cpu in thousandths of a core and memory in MB, both above zero";
        faults.push(Fault::new(section, key, "zero size", hint));
    }
    if let Some(free) = largest
        && !size.fits(free)
    {
        let problem = format!("{size} fits on no VM, the largest has {free} free");
        faults.push(Fault::new(section, key, problem, "lower it"));
    }
}

fn check_names<'a>(section: &str, names: impl Iterator<Item = &'a Name>, faults: &mut Vec<Fault>) {
    let mut seen = BTreeSet::new();
    for (i, name) in names.enumerate() {
        if name.is_empty() {
            faults.push(Fault::new(section, i.to_string(), "empty name", "name it"));
        }
        if !seen.insert(name) {
            faults.push(Fault::new(section, &**name, "named twice", "remove one of them"));
        }
        if i == MAX_ENTRIES {
            let problem = format!("more than {MAX_ENTRIES} entries");
            faults.push(Fault::new(section, "", problem, "remove some"));
        }
    }
}
