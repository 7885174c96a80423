//! The RPC server for connections that other daemons open.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use comfreyramp_policy::rates::{RateAnswer, RateRequest};
use futures::AsyncReadExt;
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::Instant,
};
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::{
    PeerHandler, PeerHeartbeat, SettingsRequest, codec,
    generated::peers_capnp::{door, session},
    link_thread::LinkContext,
    metered_stream::MeteredStream,
};

/// The delay after the listener failed to accept a connection. The usual cause
/// is a temporary shortage of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts connections until the link stops.
pub(crate) async fn accept<H: PeerHandler>(listener: TcpListener, context: Rc<LinkContext<H>>) {
    loop {
        let accepted = tokio::select! {
            () = context.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => drop(spawn_local(serve(stream, context.clone()))),
            Err(error) => {
                log::warn!("peers: failed to accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve<H: PeerHandler>(stream: TcpStream, context: Rc<LinkContext<H>>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("peers: a new connection broke: {error}");
        return;
    }
    let traffic = context.traffic.clone();
    let (reader, writer) = MeteredStream { stream, traffic }.compat().split();
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        Side::Server,
        Default::default(),
    );
    let last_used = Rc::new(Cell::new(Instant::now()));
    let server = PeerServer {
        context: context.clone(),
        last_used: last_used.clone(),
    };
    let client: door::Client = capnp_rpc::new_client(server);
    let rpc = RpcSystem::new(Box::new(network), Some(client.client));
    tokio::select! {
        () = context.stop.cancelled() => {}
        () = until_silent(&last_used, context.timing.silence_timeout) => {}
        ended = rpc => {
            if let Err(error) = ended {
                log::debug!("peers: a connection broke: {error}");
            }
        }
    }
}

/// Waits until no request has arrived for `timeout`. A peer whose VM was lost never
/// closes its connection, which would otherwise stay open forever.
async fn until_silent(last_used: &Cell<Instant>, timeout: Duration) {
    while last_used.get().elapsed() < timeout {
        tokio::time::sleep_until(last_used.get() + timeout).await;
    }
}

/// A connection whose peer hasn't identified itself yet.
struct PeerServer<H> {
    context: Rc<LinkContext<H>>,
    last_used: Rc<Cell<Instant>>,
}

impl<H: PeerHandler> door::Server for PeerServer<H> {
    async fn hello(
        self: capnp::capability::Rc<Self>,
        params: door::HelloParams,
        mut results: door::HelloResults,
    ) -> Result<(), capnp::Error> {
        let heartbeat = codec::read_beat(params.get()?.get_beat()?)?;
        let handler = &self.context.handler;
        handler.handle_heartbeat(&heartbeat);
        let session = PeerSession {
            handler: handler.clone(),
            last_used: self.last_used.clone(),
            from: RefCell::new(heartbeat),
        };
        let mut results = results.get();
        codec::write_beat(results.reborrow().init_beat(), &handler.own_heartbeat());
        results.set_session(capnp_rpc::new_client(session));
        Ok(())
    }
}

/// The requests of one peer that has identified itself.
struct PeerSession<H> {
    handler: H,
    last_used: Rc<Cell<Instant>>,
    from: RefCell<PeerHeartbeat>,
}

impl<H: PeerHandler> PeerSession<H> {
    fn record_use(&self) {
        self.last_used.set(Instant::now());
    }

    fn rates(&self, request: &RateRequest) -> RateAnswer {
        self.record_use();
        self.handler.rates(&self.from.borrow(), request)
    }
}

impl<H: PeerHandler> session::Server for PeerSession<H> {
    async fn beat(
        self: capnp::capability::Rc<Self>,
        params: session::BeatParams,
        mut results: session::BeatResults,
    ) -> Result<(), capnp::Error> {
        self.record_use();
        let heartbeat = codec::read_beat(params.get()?.get_beat()?)?;
        self.handler.handle_heartbeat(&heartbeat);
        self.from.replace(heartbeat);
        codec::write_beat(results.get().init_beat(), &self.handler.own_heartbeat());
        Ok(())
    }

    async fn tokens(
        self: capnp::capability::Rc<Self>,
        params: session::TokensParams,
        mut results: session::TokensResults,
    ) -> Result<(), capnp::Error> {
        let request = codec::read_token_ask(params.get()?.get_ask()?);
        let answer = self.rates(&RateRequest::Tokens(request));
        codec::write_token_answer(results.get().init_answer(), &answer)
    }

    async fn slices(
        self: capnp::capability::Rc<Self>,
        params: session::SlicesParams,
        mut results: session::SlicesResults,
    ) -> Result<(), capnp::Error> {
        let wants = codec::read_wants(params.get()?.get_wants()?);
        let answer = self.rates(&RateRequest::Slices(wants));
        codec::write_offers(results.get(), &answer)
    }

    async fn give_back(
        self: capnp::capability::Rc<Self>,
        params: session::GiveBackParams,
        _results: session::GiveBackResults,
    ) -> Result<(), capnp::Error> {
        let returns = codec::read_returns(params.get()?.get_returns()?);
        self.rates(&RateRequest::Return(returns));
        Ok(())
    }

    async fn settle(
        self: capnp::capability::Rc<Self>,
        params: session::SettleParams,
        _results: session::SettleResults,
    ) -> Result<(), capnp::Error> {
        let settlements = codec::read_settlements(params.get()?.get_settlements()?);
        self.rates(&RateRequest::Settle(settlements));
        Ok(())
    }

    async fn settings(
        self: capnp::capability::Rc<Self>,
        params: session::SettingsParams,
        mut results: session::SettingsResults,
    ) -> Result<(), capnp::Error> {
        self.record_use();
        let params = params.get()?;
        let request = SettingsRequest {
            known_revision: params.get_known(),
            max_hold: Duration::from_millis(u64::from(params.get_hold_millis())),
        };
        if let Some(answer) = self.handler.settings(request).await {
            codec::write_settings(results.get().init_view(), &answer);
        }
        self.record_use();
        Ok(())
    }

    async fn suspects(
        self: capnp::capability::Rc<Self>,
        params: session::SuspectsParams,
        mut results: session::SuspectsResults,
    ) -> Result<(), capnp::Error> {
        self.record_use();
        let notice = codec::read_notice(params.get()?.get_facts()?)?;
        let ack = self.handler.suspects(&self.from.borrow(), notice);
        codec::write_ack(results.get().init_ack(), &ack);
        Ok(())
    }

    async fn announce(
        self: capnp::capability::Rc<Self>,
        params: session::AnnounceParams,
        mut results: session::AnnounceResults,
    ) -> Result<(), capnp::Error> {
        self.record_use();
        let notices = codec::read_notices(params.get()?.get_notices()?);
        let bulk = self.handler.announce(&notices);
        codec::write_bulk_counts(results.get().init_bulk(bulk.len() as u32), &bulk);
        Ok(())
    }
}
