use std::fmt;

use serde::{Deserialize, Serialize};

/// Amounts of the three resources of a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// CPU in thousandths of a core.
    pub cpu: u64,
    /// Memory in megabytes.
    pub memory: u64,
    /// Number of accelerators.
    #[serde(default)]
    pub accel: u64,
}

impl Size {
    /// No resources.
    pub const ZERO: Size = Size { cpu: 0, memory: 0, accel: 0 };

    /// Returns the sum of two sizes, at most the largest size.
    pub fn plus(self, other: Size) -> Size {
        Size {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accel: self.accel.saturating_add(other.accel),
        }
    }

    /// Returns the difference of two sizes; a resource that would fall below zero is zero.
    pub fn minus(self, other: Size) -> Size {
        Size {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accel: self.accel.saturating_sub(other.accel),
        }
    }

    /// Returns the larger amount of each resource.
    pub fn max(self, other: Size) -> Size {
        Size {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accel: self.accel.max(other.accel),
        }
    }

    /// Returns whether each resource is within `free`.
    pub fn fits(self, free: Size) -> bool {
        self.cpu <= free.cpu && self.memory <= free.memory && self.accel <= free.accel
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m/{}MB/{}", self.cpu, self.memory, self.accel)
    }
}
