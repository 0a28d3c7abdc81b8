use base::Name;
use serde::{Deserialize, Serialize};

use crate::Document;

/// A record of the `config` stream in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Publication {
    /// A new document. It takes effect only if `base` is the version in force.
    Publish {
        /// Identifier that the publisher chose, by which it finds its record.
        id: Name,
        /// Version that the document was edited from; 0 if there was none.
        base: u64,
        /// The new document.
        document: Document,
    },
    /// Repeats the configuration in force before its record expires in the log.
    /// Written only by a process that has read this version as the one in force.
    Repeat(Config),
}

/// Effect of a publication on the configuration in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FoldOutcome {
    /// The publication took effect.
    Accepted,
    /// The publication changed nothing: its base was not the version in force, or it
    /// repeated the version in force or an older one.
    Lost,
}

/// The configuration in force, as far as one process knows.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version, counted from 1; 0 if nothing has been published. It only grows.
    pub version: u64,
    /// Offset in the `config` stream of the publication that took effect.
    pub offset: u64,
    /// Identifier of that publication.
    pub id: Name,
    /// The document in force.
    pub document: Document,
}

impl Config {
    /// Applies a record of the `config` stream; records are applied in log order.
    ///
    /// Every reader of the whole stream arrives at the same version. A reader of a stream
    /// whose beginning has expired arrives at it with the first `Repeat` of the version in
    /// force; before the end of the stream it must not act on its intermediate result.
    pub fn fold(&mut self, offset: u64, publication: &Publication) -> FoldOutcome {
        match publication {
            Publication::Publish { id, base, document } if *base == self.version => {
                self.version += 1;
                self.offset = offset;
                self.id = id.clone();
                self.document = document.clone();
                FoldOutcome::Accepted
            }
            Publication::Publish { .. } => FoldOutcome::Lost,
            Publication::Repeat(config) => self.repeat(config),
        }
    }

    /// Takes over the configuration of a peer if that is newer, and returns whether it was.
    pub fn update_from_peer(&mut self, other: &Config) -> bool {
        if other.version <= self.version {
            return false;
        }
        *self = other.clone();
        true
    }

    fn repeat(&mut self, config: &Config) -> FoldOutcome {
        if config.version < self.version || config == self {
            return FoldOutcome::Lost;
        }
        *self = config.clone();
        FoldOutcome::Accepted
    }
}

/// Follows the `config` stream and yields the configuration in force at its end.
///
/// A reader that has fallen behind the retention of the log may take a rejected
/// publication for the accepted one. At the end of the stream it has read the repeat
/// that corrects this, so the configuration is used only there.
#[derive(Debug, Clone, Default)]
pub struct ConfigReader {
    draft: Config,
}

impl ConfigReader {
    /// Applies a record; records are applied in log order.
    pub fn fold(&mut self, offset: u64, publication: &Publication) {
        self.draft.fold(offset, publication);
    }

    /// Returns the configuration in force if it is newer than `config`, the one in use.
    /// To be called only at the end of the stream.
    pub fn newer_config(&mut self, config: &Config) -> Option<Config> {
        self.draft.update_from_peer(config);
        (self.draft.version > config.version).then(|| self.draft.clone())
    }
}
