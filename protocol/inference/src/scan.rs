//! Reads a message in place, without copying, and validates the wire format of every field against the schema.
//!
//! A gateway needs only the function's name, the id and the parameters of a message, and forwards its tensors unchanged.
//! Decoding and encoding the tensors would dominate the cost of a call. The whole message is still validated, so that no
//! malformed message is forwarded (Protocol Buffers, "Encoding").

mod schema;
mod wire;

use crate::names;
use schema::{check, REQUESTED_OUTPUT, TENSOR};
use thiserror::Error;
use wire::{Field, Fields};

/// Why a message does not conform to the encoding or the schema.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{reason} at byte {offset}")]
pub struct Malformed {
    /// The byte offset of the error in the message.
    pub offset: usize,
    /// The error.
    pub reason: &'static str,
}

/// The value of a parameter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ParameterValue<'a> {
    /// `bool_param`
    Bool(bool),
    /// `int64_param`
    Int(i64),
    /// `uint64_param`
    Uint(u64),
    /// `double_param`
    Double(f64),
    /// `string_param`
    Str(&'a str),
}

impl ParameterValue<'_> {
    /// The value as an integer, if it is one or a text that parses as one.
    pub fn as_int(&self) -> Option<i64> {
        match *self {
            ParameterValue::Int(value) => Some(value),
            ParameterValue::Uint(value) => i64::try_from(value).ok(),
            ParameterValue::Str(text) => text.trim().parse().ok(),
            ParameterValue::Bool(_) | ParameterValue::Double(_) => None,
        }
    }

    /// The value as a bool, if it is one or a text that parses as one.
    pub fn as_bool(&self) -> Option<bool> {
        match *self {
            ParameterValue::Bool(value) => Some(value),
            ParameterValue::Str(text) => text.trim().parse().ok(),
            _ => None,
        }
    }

    /// The value, if it is text.
    pub fn as_str(&self) -> Option<&str> {
        match self {
            ParameterValue::Str(text) => Some(text),
            _ => None,
        }
    }
}

/// The fields that are read from a `ModelInferRequest`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct InferRequest<'a> {
    /// `model_name`.
    pub model: &'a str,
    /// `model_version`.
    pub version: &'a str,
    /// `id`.
    pub id: &'a str,
    /// `parameters`, in the order sent. Of several entries with one name the last counts.
    pub parameters: Vec<(&'a str, ParameterValue<'a>)>,
    /// The number of input tensors.
    pub inputs: usize,
}

impl<'a> InferRequest<'a> {
    /// Reads an encoded request and validates every field.
    pub fn parse(bytes: &'a [u8]) -> Result<InferRequest<'a>, Malformed> {
        let mut request = InferRequest::default();
        let mut fields = Fields::new(bytes, 0);
        while let Some(field) = fields.next()? {
            match field.number {
                1 => request.model = field.text()?,
                2 => request.version = field.text()?,
                3 => request.id = field.text()?,
                4 => request.parameters.push(parameter(&field)?),
                5 => {
                    check(field.message()?, TENSOR)?;
                    request.inputs += 1;
                }
                6 => check(field.message()?, REQUESTED_OUTPUT)?,
                7 => drop(field.bytes()?),
                _ => {}
            }
        }
        Ok(request)
    }

    /// A parameter by name.
    pub fn parameter(&self, name: &str) -> Option<&ParameterValue<'a>> {
        let mut latest_first = self.parameters.iter().rev();
        latest_first
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// The fields that are read from a `ModelStreamInferResponse`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StreamResponse<'a> {
    /// `error_message`.
    pub error: &'a str,
    /// `id` of `infer_response`.
    pub id: &'a str,
    /// Whether `infer_response` is present.
    pub response: bool,
    /// Whether the parameter `triton_final_response` is true.
    pub last: bool,
}

impl<'a> StreamResponse<'a> {
    /// Reads an encoded message of a streamed response and validates every field.
    pub fn parse(bytes: &'a [u8]) -> Result<StreamResponse<'a>, Malformed> {
        let mut response = StreamResponse::default();
        let mut fields = Fields::new(bytes, 0);
        while let Some(field) = fields.next()? {
            match field.number {
                1 => response.error = field.text()?,
                2 => {
                    response.response = true;
                    response.parse_infer_response(field.message()?)?;
                }
                _ => {}
            }
        }
        Ok(response)
    }

    fn parse_infer_response(&mut self, mut fields: Fields<'a>) -> Result<(), Malformed> {
        while let Some(field) = fields.next()? {
            match field.number {
                1 | 2 => drop(field.text()?),
                3 => self.id = field.text()?,
                4 => {
                    if let (names::FINAL_RESPONSE, value) = parameter(&field)? {
                        self.last = value == ParameterValue::Bool(true);
                    }
                }
                5 => check(field.message()?, TENSOR)?,
                6 => drop(field.bytes()?),
                _ => {}
            }
        }
        Ok(())
    }
}

/// Validates an encoded `ModelInferResponse` and returns its id.
pub fn response_id(bytes: &[u8]) -> Result<&str, Malformed> {
    let mut response = StreamResponse::default();
    response.parse_infer_response(Fields::new(bytes, 0))?;
    Ok(response.id)
}

/// Reads one entry of a `map<string, InferParameter>`.
fn parameter<'a>(field: &Field<'a>) -> Result<(&'a str, ParameterValue<'a>), Malformed> {
    let mut key = "";
    let mut value = ParameterValue::Str("");
    let mut fields = field.message()?;
    while let Some(field) = fields.next()? {
        match field.number {
            1 => key = field.text()?,
            2 => {
                let mut choices = field.message()?;
                while let Some(choice) = choices.next()? {
                    match choice.number {
                        1 => value = ParameterValue::Bool(choice.varint()? != 0),
                        2 => value = ParameterValue::Int(choice.varint()? as i64),
                        3 => value = ParameterValue::Str(choice.text()?),
                        4 => value = ParameterValue::Double(f64::from_bits(choice.fixed64()?)),
                        5 => value = ParameterValue::Uint(choice.varint()?),
                        _ => {}
                    }
                }
            }
            _ => {}
        }
    }
    Ok((key, value))
}
