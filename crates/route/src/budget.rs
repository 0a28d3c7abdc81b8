/// Extra requests that one ordinary request adds to the budget.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Maximum balance, in extra requests.
const MAX_BALANCE: f64 = 20.0;

/// Limits retries and hedges to a fraction of the ordinary requests.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget at half its maximum balance, which allows an initial burst.
    pub fn open() -> RetryBudget {
        RetryBudget { balance: MAX_BALANCE / 2.0 }
    }

    /// Credits the budget for one ordinary request.
    pub fn earn(&mut self) {
        self.balance = (self.balance + EARNED_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Takes one extra request from the budget; returns false if the balance is
    /// below 1.
    pub fn try_spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
