//! Maps the bytes and stream events of connections to events of calls and attempts.

use super::calls::{header, parse_timeout, Stream};
use super::Auditor;
use crate::record::Link;
use crate::report::CallEnd;
use crate::wire::StreamEvent;

/// The HTTP/2 error code REFUSED_STREAM: the peer did not process the stream.
const REFUSED_STREAM: u32 = 7;

impl Auditor<'_> {
    pub(super) fn on_bytes(&mut self, at: i64, id: u64, from_client: bool, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let direction = match from_client {
            true => &mut connection.upstream,
            false => &mut connection.downstream,
        };
        for (stream, event) in direction.read(bytes) {
            match event {
                StreamEvent::Goaway(_) if from_client => {}
                StreamEvent::Goaway(last) => self.on_goaway(at, id, last),
                _ if from_client => self.on_request(at, id, stream, event),
                _ => self.on_response(at, id, stream, event),
            }
        }
    }

    /// Ends the open streams of a closed connection. `by` is as in [`Event::Close`](crate::record::Event::Close).
    pub(super) fn on_close(&mut self, at: i64, id: u64, by: Option<bool>) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        if matches!(connection.link, Link::Client { .. }) && by != Some(true) {
            // A front end that closes a client's connection must still answer its calls, so they stay open.
            return;
        }
        for stream in connection.streams.values().filter(|s| !s.closed) {
            self.on_stream_end(at, connection.link, stream, false);
        }
    }

    /// Ends the streams above `last`, which the peer did not process.
    fn on_goaway(&mut self, at: i64, id: u64, last: u32) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let link = connection.link;
        let above: Vec<u32> = connection.streams.range(last + 1..).map(|s| *s.0).collect();
        let refused: Vec<Stream> = above
            .iter()
            .filter_map(|number| connection.streams.remove(number))
            .filter(|stream| !stream.closed)
            .collect();
        for stream in &refused {
            self.on_stream_end(at, link, stream, true);
        }
    }

    /// Processes a stream event from the side that connected.
    fn on_request(&mut self, at: i64, id: u64, number: u32, event: StreamEvent) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let (link, opened) = (connection.link, connection.opened);
        let mut stream = connection.streams.remove(&number).unwrap_or_default();
        match (link, event) {
            (_, StreamEvent::Headers(fields)) => {
                let path = header(&fields, ":path").unwrap_or("");
                stream.method = path.rsplit('/').next().unwrap_or("").to_string();
                stream.timeout = header(&fields, "grpc-timeout").and_then(parse_timeout);
                stream.began = at;
            }
            (Link::Client { front }, StreamEvent::Message(message)) => {
                self.on_call(at, front, opened, &mut stream, &message);
            }
            (Link::Worker { front, worker }, StreamEvent::Message(message)) => {
                self.on_worker_request(at, front, worker, &mut stream, &message);
            }
            (Link::Client { .. }, StreamEvent::Reset(_)) => {
                stream.closed = true;
                self.on_stream_end(at, link, &stream, false);
            }
            (Link::Worker { .. }, StreamEvent::Reset(_)) if !stream.closed => {
                stream.closed = true;
                self.on_stream_end(at, link, &stream, false);
            }
            _ => {}
        }
        self.restore_stream(id, number, stream);
    }

    /// Processes a stream event from the side that accepted the connection.
    fn on_response(&mut self, at: i64, id: u64, number: u32, event: StreamEvent) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let link = connection.link;
        let mut stream = connection.streams.remove(&number).unwrap_or_default();
        match (link, event) {
            (Link::Client { .. }, StreamEvent::Message(message))
                if stream.method == "ModelStreamInfer" =>
            {
                self.on_stream_answer(at, &message);
            }
            (Link::Client { .. }, StreamEvent::Headers(fields)) => {
                self.on_client_headers(at, &mut stream, &fields);
            }
            (Link::Worker { .. }, StreamEvent::Message(_)) => self.mark_response(&stream),
            (Link::Worker { .. }, StreamEvent::Headers(fields)) => {
                self.on_worker_headers(at, link, &mut stream, &fields);
            }
            (Link::Worker { .. }, StreamEvent::Reset(code)) if !stream.closed => {
                stream.closed = true;
                let never_ran = code == REFUSED_STREAM && !self.has_response(&stream);
                self.on_stream_end(at, link, &stream, never_ran);
            }
            _ => {}
        }
        self.restore_stream(id, number, stream);
    }

    /// Stores a stream that was taken out of its connection while its event was processed.
    fn restore_stream(&mut self, id: u64, number: u32, stream: Stream) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.streams.insert(number, stream);
        }
    }

    /// Processes headers or trailers to a client; a status ends a unary call.
    fn on_client_headers(&mut self, at: i64, stream: &mut Stream, fields: &[(String, String)]) {
        let Some(status) = header(fields, "grpc-status").filter(|_| stream.method == "ModelInfer")
        else {
            return;
        };
        let end = match status {
            "0" => CallEnd::Served,
            "14" => CallEnd::Refused,
            _ => CallEnd::Failed,
        };
        stream.answered = true;
        for id in &stream.call_ids {
            self.on_final_answer(at, id, end);
        }
    }

    /// Processes headers or trailers from a worker; a status ends the attempt.
    fn on_worker_headers(
        &mut self,
        at: i64,
        link: Link,
        stream: &mut Stream,
        fields: &[(String, String)],
    ) {
        let Some(status) = header(fields, "grpc-status") else {
            return self.mark_response(stream);
        };
        let never_ran = header(fields, "tansy-never-ran").is_some() && status != "0";
        stream.closed = true;
        self.on_stream_end(at, link, stream, never_ran);
    }
}
