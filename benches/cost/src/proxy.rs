//! The plain pass-through proxy: tonic's server and client, one thread, workers in turn, no decisions.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use tonic::transport::{Channel, Server};
use tonic::{Request, Response, Status, Streaming};

#[allow(missing_docs, dead_code, clippy::all)]
mod generated {
    tonic::include_proto!("inference");
}
use generated::grpc_inference_service_client::GrpcInferenceServiceClient as Client;
use generated::grpc_inference_service_server::{GrpcInferenceService, GrpcInferenceServiceServer};
use generated::*;

struct Proxy {
    clients: Vec<Client<Channel>>,
    next: AtomicUsize,
}

impl Proxy {
    fn client(&self) -> Client<Channel> {
        self.clients[self.next.fetch_add(1, Ordering::Relaxed) % self.clients.len()].clone()
    }
}

type Pieces = Pin<Box<dyn Stream + Send>>;
/// The stream type that the generated trait wants; only unary calls are measured.
trait Stream:
    tonic::codegen::tokio_stream::Stream<Item = Result<ModelStreamInferResponse, Status>>
{
}
impl<T: tonic::codegen::tokio_stream::Stream<Item = Result<ModelStreamInferResponse, Status>>>
    Stream for T
{
}

fn no<T>() -> Result<Response<T>, Status> {
    Err(Status::unimplemented("only ModelInfer is passed through"))
}

#[tonic::async_trait]
impl GrpcInferenceService for Proxy {
    type ModelStreamInferStream = Pieces;
    async fn model_infer(
        &self,
        r: Request<ModelInferRequest>,
    ) -> Result<Response<ModelInferResponse>, Status> {
        self.client().model_infer(r.into_inner()).await
    }
    async fn model_stream_infer(
        &self,
        _: Request<Streaming<ModelInferRequest>>,
    ) -> Result<Response<Pieces>, Status> {
        no()
    }
    async fn server_live(
        &self,
        _: Request<ServerLiveRequest>,
    ) -> Result<Response<ServerLiveResponse>, Status> {
        no()
    }
    async fn server_ready(
        &self,
        _: Request<ServerReadyRequest>,
    ) -> Result<Response<ServerReadyResponse>, Status> {
        no()
    }
    async fn model_ready(
        &self,
        _: Request<ModelReadyRequest>,
    ) -> Result<Response<ModelReadyResponse>, Status> {
        no()
    }
    async fn server_metadata(
        &self,
        _: Request<ServerMetadataRequest>,
    ) -> Result<Response<ServerMetadataResponse>, Status> {
        no()
    }
    async fn model_metadata(
        &self,
        _: Request<ModelMetadataRequest>,
    ) -> Result<Response<ModelMetadataResponse>, Status> {
        no()
    }
    async fn repository_index(
        &self,
        _: Request<RepositoryIndexRequest>,
    ) -> Result<Response<RepositoryIndexResponse>, Status> {
        no()
    }
    async fn repository_model_load(
        &self,
        _: Request<RepositoryModelLoadRequest>,
    ) -> Result<Response<RepositoryModelLoadResponse>, Status> {
        no()
    }
    async fn repository_model_unload(
        &self,
        _: Request<RepositoryModelUnloadRequest>,
    ) -> Result<Response<RepositoryModelUnloadResponse>, Status> {
        no()
    }
}

pub fn run(workers: Vec<SocketAddr>) -> Result<(), crate::Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut clients = Vec::new();
        for w in workers {
            let channel = Channel::from_shared(format!("http://{w}"))?.tcp_nodelay(true);
            let channel = channel.connect().await?;
            clients.push(Client::new(channel));
        }
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        println!("ready grpc={}", listener.local_addr()?);
        let incoming =
            tonic::transport::server::TcpIncoming::from(listener).with_nodelay(Some(true));
        let service = GrpcInferenceServiceServer::new(Proxy {
            clients,
            next: AtomicUsize::new(0),
        });
        Server::builder()
            .add_service(service)
            .serve_with_incoming(incoming)
            .await?;
        Ok(())
    })
}
