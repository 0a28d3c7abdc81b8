use base::Name;
use serde::{Deserialize, Serialize};

use crate::Document;

/// A record of the `config` stream of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Publication {
    /// A new document. It comes into force where `base` is in force.
    Publish {
        /// Identifier that the publisher chose, by which it finds its record.
        id: Name,
        /// Version that the document was edited from; 0 for none.
        base: u64,
        /// The document.
        document: Document,
    },
    /// Repeats what is in force, before the log lets it expire. Only a process
    /// that has read the version as the one in force writes it.
    Repeat(Config),
}

/// What became of a publication.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It came into force.
    Accepted,
    /// Another one had come into force since its base.
    Lost,
}

/// The document in force, as far as one process knows.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version in force, counted from 1; 0 where there is none. It only grows.
    pub version: u64,
    /// Offset on the `config` stream at which it came into force.
    pub offset: u64,
    /// Identifier of its publication.
    pub id: Name,
    /// The document.
    pub document: Document,
}

impl Config {
    /// Takes in a record of the `config` stream, in the order of the log.
    ///
    /// Every reader of the whole stream comes to the same version. A reader of
    /// a stream whose beginning has expired comes to it with the first
    /// `Repeat` of the version in force; until it has reached the end of the
    /// stream it must not act on what it has.
    pub fn fold(&mut self, offset: u64, publication: &Publication) -> Standing {
        match publication {
            Publication::Publish { id, base, document } if *base == self.version => {
                self.version += 1;
                self.offset = offset;
                self.id = id.clone();
                self.document = document.clone();
                Standing::Accepted
            }
            Publication::Publish { .. } => Standing::Lost,
            Publication::Repeat(config) => self.repeat(config),
        }
    }

    /// Takes in the document that a peer has in force. Whether it is newer.
    pub fn adopt(&mut self, other: &Config) -> bool {
        if other.version <= self.version {
            return false;
        }
        *self = other.clone();
        true
    }

    fn repeat(&mut self, config: &Config) -> Standing {
        if config.version < self.version || config == self {
            return Standing::Lost;
        }
        *self = config.clone();
        Standing::Accepted
    }
}

/// Reads the `config` stream and tells what is in force.
///
/// Between two records a reader that has lagged behind what the log keeps may
/// take a publication that lost for one that won; at the end of the stream it
/// has seen the repeat that sets it right. So it is acted upon only there.
#[derive(Debug, Clone, Default)]
pub struct Reader {
    draft: Config,
}

impl Reader {
    /// Takes in a record, in the order of the log.
    pub fn fold(&mut self, offset: u64, publication: &Publication) {
        self.draft.fold(offset, publication);
    }

    /// What is in force, once the end of the stream has been reached; `None`
    /// where `config`, which is acted upon so far, is as new.
    pub fn end(&mut self, config: &Config) -> Option<Config> {
        self.draft.adopt(config);
        (self.draft.version > config.version).then(|| self.draft.clone())
    }
}
