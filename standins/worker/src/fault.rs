//! Injected faults of a stand-in worker, set while it runs.

use std::cell::{Cell, RefCell};

/// The highest gRPC status.
const HIGHEST_STATUS: u32 = 16;

/// A word that sets no fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FaultError {
    /// The fault needs a whole number.
    #[error("{word:?}: want {name}=NUMBER")]
    NotANumber {
        /// The word as it came.
        word: String,
        /// The fault's name in it.
        name: String,
    },
    /// `slow` needs a factor above 0.
    #[error("{0:?}: want slow=FACTOR above 0")]
    NotAFactor(String),
    /// `lose` needs a function.
    #[error("{0:?}: want lose=FUNCTION")]
    NoFunction(String),
    /// No fault has that name.
    #[error("unknown fault {0:?}")]
    Unknown(String),
}

fn parse_factor(word: &str, value: Option<&str>) -> Result<f64, FaultError> {
    value
        .and_then(|value| value.parse::<f64>().ok())
        .filter(|factor| factor.is_finite() && *factor > 0.0)
        .ok_or_else(|| FaultError::NotAFactor(word.to_string()))
}

/// Faults that last until they are cleared.
#[derive(Debug, Default)]
pub struct Faults {
    /// Takes calls and answers none.
    pub silent: Cell<bool>,
    /// Sends nothing more after so many messages of an answer.
    pub silent_after: Cell<Option<u32>>,
    /// Cuts the connection after so many messages of an answer.
    pub cut_after: Cell<Option<u32>>,
    /// Work takes this many times as long; 0 counts as 1.
    pub slow: Cell<f64>,
    /// Answers new streams with RST_STREAM, REFUSED_STREAM.
    pub refuse: Cell<bool>,
    /// Answers new streams with RST_STREAM of this code.
    pub reset: Cell<Option<u32>>,
    /// Sends a frame that is no message in place of the first one.
    pub corrupt: Cell<bool>,
    /// Answers unary calls twice.
    pub twice: Cell<bool>,
    /// Ends answers without trailers.
    pub no_trailers: Cell<bool>,
    /// Answers with this status and nothing else.
    pub status: Cell<Option<u8>>,
    /// Is no model server: answers every method at once with OK and the request's own bytes.
    pub hollow: Cell<bool>,
    /// Answers every method at once with this status.
    pub hollow_status: Cell<Option<u8>>,
    /// Reports every load as done at once, and misses every call.
    pub boast: Cell<bool>,
    /// Calls of this function run, and their answers are lost: RST_STREAM, INTERNAL_ERROR.
    pub lose: RefCell<Option<String>>,
}

impl Faults {
    /// Sets or clears a fault by a word: `silent`, `silent-after=N`, `cut-after=N`, `slow=X`, `refuse`, `reset=CODE`,
    /// `corrupt`, `twice`, `no-trailers`, `status=CODE`, `hollow`, `hollow=CODE`, `boast`, `lose=FUNCTION`, or `clear` for none.
    pub fn set(&self, word: &str) -> Result<(), FaultError> {
        let (name, value) = match word.split_once('=') {
            Some((name, value)) => (name, Some(value)),
            None => (word, None),
        };
        let number = || {
            let number = value.and_then(|value| value.parse::<u32>().ok());
            number.ok_or_else(|| FaultError::NotANumber {
                word: word.to_string(),
                name: name.to_string(),
            })
        };
        match name {
            "silent" => self.silent.set(true),
            "silent-after" => self.silent_after.set(Some(number()?)),
            "cut-after" => self.cut_after.set(Some(number()?)),
            "slow" => self.slow.set(parse_factor(word, value)?),
            "refuse" => self.refuse.set(true),
            "reset" => self.reset.set(Some(number()?)),
            "corrupt" => self.corrupt.set(true),
            "twice" => self.twice.set(true),
            "no-trailers" => self.no_trailers.set(true),
            "status" => self.status.set(Some(number()?.min(HIGHEST_STATUS) as u8)),
            "hollow" if value.is_none() => self.hollow.set(true),
            "hollow" => {
                let status = number()?.min(HIGHEST_STATUS) as u8;
                self.hollow_status.set(Some(status));
            }
            "boast" => self.boast.set(true),
            "lose" => {
                let function = value.filter(|function| !function.is_empty());
                let function = function.ok_or_else(|| FaultError::NoFunction(word.to_string()))?;
                *self.lose.borrow_mut() = Some(function.to_string());
            }
            "clear" => self.clear(),
            _ => return Err(FaultError::Unknown(word.to_string())),
        }
        Ok(())
    }

    /// Clears all faults.
    pub fn clear(&self) {
        self.silent.set(false);
        self.silent_after.set(None);
        self.cut_after.set(None);
        self.slow.set(1.0);
        self.refuse.set(false);
        self.reset.set(None);
        self.corrupt.set(false);
        self.twice.set(false);
        self.no_trailers.set(false);
        self.status.set(None);
        self.hollow.set(false);
        self.hollow_status.set(None);
        self.boast.set(false);
        self.lose.take();
    }

    /// How many times as long work takes.
    pub fn slowness(&self) -> f64 {
        Some(self.slow.get())
            .filter(|factor| *factor > 0.0)
            .unwrap_or(1.0)
    }
}

#[cfg(test)]
mod tests;
