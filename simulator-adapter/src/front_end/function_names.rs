//! The names of a front end's functions, and the identifiers that its router knows them by.

use crate::error::LineError;
use std::borrow::Cow;
use std::collections::BTreeMap;
use tansyrouter::FunctionId;

/// Digits of a function's name: a 64-bit number in hexadecimal.
const NAME_DIGITS: usize = 16;

/// The functions whose names are not their identifiers in lower case; all others follow from the identifier.
#[derive(Default)]
pub struct FunctionNames {
    unusual: BTreeMap<FunctionId, String>,
}

impl FunctionNames {
    /// The identifier of a function; its name is recorded if it can't be told from the identifier.
    pub fn register(&mut self, name: &str) -> Result<FunctionId, LineError> {
        let id = parse(name).ok_or_else(|| LineError::InvalidFunctionName { name: name.into() })?;
        if !is_canonical(name) {
            self.unusual.entry(id).or_insert_with(|| name.to_string());
        }
        Ok(id)
    }

    /// The name of a function.
    pub fn name(&self, id: FunctionId) -> Cow<'_, str> {
        match self.unusual.get(&id) {
            Some(name) => Cow::Borrowed(name),
            None => Cow::Owned(format!("{:016x}", id.0)),
        }
    }
}

fn parse(name: &str) -> Option<FunctionId> {
    if name.len() != NAME_DIGITS {
        return None;
    }
    u64::from_str_radix(name, 16).ok().map(FunctionId)
}

/// Whether a name of the right length is how its identifier is written: without a sign, in lower case.
fn is_canonical(name: &str) -> bool {
    name.bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}
