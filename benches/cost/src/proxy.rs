//! The plain pass-through proxy: tonic's server and client, one thread, workers in turn, no decisions.

use crate::error::{system_error, BenchError};
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use tonic::transport::server::TcpIncoming;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status, Streaming};

/// Written by tonic's generator: its items have no documentation, and its dispatch is one long function.
#[allow(missing_docs, dead_code, clippy::all, clippy::too_many_lines)]
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

/// The stream type that the generated trait wants; only unary calls are measured.
type ResponseStream = Pin<Box<dyn Stream + Send>>;

trait Stream:
    tonic::codegen::tokio_stream::Stream<Item = Result<ModelStreamInferResponse, Status>>
{
}
impl<T: tonic::codegen::tokio_stream::Stream<Item = Result<ModelStreamInferResponse, Status>>>
    Stream for T
{
}

fn unimplemented<T>() -> Result<Response<T>, Status> {
    Err(Status::unimplemented("only ModelInfer is passed through"))
}

#[tonic::async_trait]
impl GrpcInferenceService for Proxy {
    type ModelStreamInferStream = ResponseStream;
    async fn model_infer(
        &self,
        request: Request<ModelInferRequest>,
    ) -> Result<Response<ModelInferResponse>, Status> {
        self.client().model_infer(request.into_inner()).await
    }
    async fn model_stream_infer(
        &self,
        _: Request<Streaming<ModelInferRequest>>,
    ) -> Result<Response<ResponseStream>, Status> {
        unimplemented()
    }
    async fn server_live(
        &self,
        _: Request<ServerLiveRequest>,
    ) -> Result<Response<ServerLiveResponse>, Status> {
        unimplemented()
    }
    async fn server_ready(
        &self,
        _: Request<ServerReadyRequest>,
    ) -> Result<Response<ServerReadyResponse>, Status> {
        unimplemented()
    }
    async fn model_ready(
        &self,
        _: Request<ModelReadyRequest>,
    ) -> Result<Response<ModelReadyResponse>, Status> {
        unimplemented()
    }
    async fn server_metadata(
        &self,
        _: Request<ServerMetadataRequest>,
    ) -> Result<Response<ServerMetadataResponse>, Status> {
        unimplemented()
    }
    async fn model_metadata(
        &self,
        _: Request<ModelMetadataRequest>,
    ) -> Result<Response<ModelMetadataResponse>, Status> {
        unimplemented()
    }
    async fn repository_index(
        &self,
        _: Request<RepositoryIndexRequest>,
    ) -> Result<Response<RepositoryIndexResponse>, Status> {
        unimplemented()
    }
    async fn repository_model_load(
        &self,
        _: Request<RepositoryModelLoadRequest>,
    ) -> Result<Response<RepositoryModelLoadResponse>, Status> {
        unimplemented()
    }
    async fn repository_model_unload(
        &self,
        _: Request<RepositoryModelUnloadRequest>,
    ) -> Result<Response<RepositoryModelUnloadResponse>, Status> {
        unimplemented()
    }
}

/// Serves, and prints where.
pub fn run(workers: &[SocketAddr]) -> Result<(), BenchError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(system_error("the proxy's runtime"))?;
    runtime.block_on(serve(workers))
}

async fn serve(workers: &[SocketAddr]) -> Result<(), BenchError> {
    let mut clients = Vec::new();
    for worker in workers {
        clients.push(Client::new(connect(*worker).await?));
    }
    let service = GrpcInferenceServiceServer::new(Proxy {
        clients,
        next: AtomicUsize::new(0),
    });
    let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .map_err(system_error("the proxy's port"))?;
    let address = listener
        .local_addr()
        .map_err(system_error("the proxy's port"))?;
    println!("ready grpc={address}");
    Server::builder()
        .add_service(service)
        .serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true)))
        .await
        .map_err(BenchError::ProxyServer)
}

async fn connect(worker: SocketAddr) -> Result<Channel, BenchError> {
    let endpoint = Endpoint::from_shared(format!("http://{worker}"));
    let connected = match endpoint {
        Ok(endpoint) => endpoint.tcp_nodelay(true).connect().await,
        Err(error) => Err(error),
    };
    connected.map_err(|source| BenchError::ProxyChannel { worker, source })
}
