//! Writes responses, and requests without a body.

/// The reason phrase of a status code.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Writes a response. `extra_headers` holds complete header lines, each with its CRLF.
pub fn write_response(
    buffer: &mut Vec<u8>,
    status: u16,
    extra_headers: &str,
    body: &[u8],
    keep_alive: bool,
) {
    let close = if keep_alive {
        ""
    } else {
        "Connection: close\r\n"
    };
    let head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Length: {}\r\n{extra_headers}{close}\r\n",
        reason_phrase(status),
        body.len()
    );
    buffer.reserve(head.len() + body.len());
    buffer.extend_from_slice(head.as_bytes());
    buffer.extend_from_slice(body);
}

/// Writes a GET request.
pub fn write_get(buffer: &mut Vec<u8>, target: &str, host: &str) {
    buffer.extend_from_slice(format!("GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n").as_bytes());
}
