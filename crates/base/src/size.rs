use std::fmt;

use serde::{Deserialize, Serialize};

/// An amount of the three resources that a backend server has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Processors in thousandths of a core.
    pub cpu: u64,
    /// Memory in megabytes.
    pub memory: u64,
    /// Accelerators, whole ones.
    #[serde(default)]
    pub accel: u64,
}

impl Size {
    /// No resources.
    pub const ZERO: Size = Size { cpu: 0, memory: 0, accel: 0 };

    /// Sum of two sizes.
    pub fn plus(self, other: Size) -> Size {
        Size {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
            accel: self.accel + other.accel,
        }
    }

    /// Difference of two sizes; a resource that would fall below zero is zero.
    pub fn minus(self, other: Size) -> Size {
        Size {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accel: self.accel.saturating_sub(other.accel),
        }
    }

    /// Whether this size fits within `room` in each resource.
    pub fn fits(self, room: Size) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accel <= room.accel
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m/{}MB/{}", self.cpu, self.memory, self.accel)
    }
}
