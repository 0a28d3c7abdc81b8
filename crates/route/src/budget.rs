/// Extra requests earned by one request.
const EARNED: f64 = 0.1;
/// Most that can be saved up.
const CAP: f64 = 20.0;

/// Bounds retries and hedges to a fraction of the requests.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    saved: f64,
}

impl Budget {
    /// A budget that allows a first burst.
    pub fn open() -> Budget {
        Budget { saved: CAP / 2.0 }
    }

    /// Notes a request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(CAP);
    }

    /// Takes one extra request out of the budget; whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
