use std::fmt;

use base::{Millis, Name};
use job::StepId;

use crate::Call;

/// Reply of the policy service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicyReply {
    /// Workers that may run the step, each with the ticket that a start there must carry.
    pub tickets: Vec<(Name, Name)>,
    /// Time for which the tickets are valid, from the reply on.
    pub valid: Millis,
}

/// The policy service, which decides which workers may run the steps of a queue.
#[derive(Clone)]
pub struct PolicyService {
    /// Asks which of the given workers may run a step. The error is the reason why there
    /// is no usable reply.
    pub request: Call<(StepId, Vec<Name>), Result<PolicyReply, String>>,
}

impl fmt::Debug for PolicyService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Advice")
    }
}
