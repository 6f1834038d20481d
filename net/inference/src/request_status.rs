//! The status of a request that is rejected, or answered by the front end, without becoming a call.

use http::HeaderMap;
use tansy_frames::grpc::{Code, FrameError};
use tansy_inference::scan;
use tansy_net_grpc::server::{status_trailers, StreamError};

/// The gRPC status of a request that does not become a call.
pub(crate) struct RequestStatus {
    code: Code,
    message: String,
}

impl RequestStatus {
    pub(crate) fn new(code: Code, message: impl Into<String>) -> RequestStatus {
        RequestStatus {
            code,
            message: message.into(),
        }
    }

    /// The trailers of a response that consists of this status only.
    pub(crate) fn trailers(&self) -> HeaderMap {
        status_trailers(self.code, &self.message)
    }
}

impl From<StreamError> for RequestStatus {
    fn from(error: StreamError) -> RequestStatus {
        match error {
            StreamError::ClientLeft => RequestStatus::new(Code::Cancelled, "the client left"),
            StreamError::SecondMessage => {
                RequestStatus::new(Code::InvalidArgument, "two messages in a unary request")
            }
            StreamError::Truncated => {
                RequestStatus::new(Code::InvalidArgument, "the stream ended within a message")
            }
            StreamError::Frame(error) => {
                let code = match error {
                    FrameError::TooLong { .. } => Code::ResourceExhausted,
                    FrameError::Compressed => Code::Unimplemented,
                    FrameError::UnknownFlag(_) => Code::InvalidArgument,
                };
                RequestStatus::new(code, error.to_string())
            }
        }
    }
}

impl From<scan::Malformed> for RequestStatus {
    fn from(error: scan::Malformed) -> RequestStatus {
        RequestStatus::new(Code::InvalidArgument, format!("malformed request: {error}"))
    }
}
