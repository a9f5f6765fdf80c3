//! Server for exchanges that peers start.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures_util::io::{BufReader, BufWriter};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::{Control, codec, exchange};
use crate::peer_capnp::peer;

/// RPC transport over a TCP connection, for either side.
pub type Network =
    VatNetwork<BufReader<tokio_util::compat::Compat<tokio::net::tcp::OwnedReadHalf>>>;

/// Wraps a connection in an RPC transport; a message of more than `max_message_bytes` closes it.
pub fn network(stream: TcpStream, side: Side, max_message_bytes: usize) -> Network {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(max_message_bytes / size_of::<u64>()));
    let (read, write) = stream.into_split();
    VatNetwork::new(
        BufReader::new(read.compat()),
        BufWriter::new(write.compat_write()),
        side,
        options,
    )
}

/// Accepts exchanges until the thread ends.
///
/// Invalid input or another protocol fails in the decoder and closes only that connection.
pub async fn serve(control: Rc<Control>, listener: TcpListener) {
    let open_connections = Rc::new(Cell::new(0_usize));
    let settings = &control.context.settings.control;
    let client: peer::Client = capnp_rpc::new_client(Server {
        control: Rc::clone(&control),
    });
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(super::exchange::ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open_connections.get() >= settings.connections_most {
            control.context.metrics.bad_input("control-connections");
            continue;
        }
        let _ = stream.set_nodelay(true);
        let network = network(stream, Side::Server, settings.message_bytes_most);
        let system = RpcSystem::new(Box::new(network), Some(client.clone().client));
        open_connections.set(open_connections.get() + 1);
        let open_connections = Rc::clone(&open_connections);
        let control = Rc::clone(&control);
        tokio::task::spawn_local(async move {
            let result = tokio::time::timeout(exchange::MAX_CONNECTION_DURATION, system).await;
            open_connections.set(open_connections.get() - 1);
            if let Ok(Err(error)) = result {
                control.context.metrics.bad_input("control");
                log::debug!(peer:% = address, error:% = error; "exchange connection failed");
            }
        });
    }
}

struct Server {
    control: Rc<Control>,
}

impl peer::Server for Server {
    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let now = Instant::now();
        let theirs = codec::read_exchange(now, params.get()?.get_ours()?)
            .inspect_err(|_| self.control.context.metrics.bad_input("control"))?;
        let peer = theirs.peer_state();
        exchange::apply_exchange(&self.control, now, theirs);
        let ours = exchange::compose(&self.control, now, Some(&peer));
        let packs = peer.packs;
        let records = codec::write_exchange(now, &ours, packs, results.get().init_theirs());
        let sent = results.get().total_size()?.word_count;
        self.control.record_sent(sent, records);
        Ok(())
    }

    async fn ask(
        self: Rc<Self>,
        params: peer::AskParams,
        mut results: peer::AskResults,
    ) -> Result<(), capnp::Error> {
        let address = codec::read_address(params.get()?.get_control_address()?)?;
        let answered = exchange::perform(&self.control, address).await.is_ok();
        results.get().set_answered(answered);
        Ok(())
    }

    async fn table(
        self: Rc<Self>,
        params: peer::TableParams,
        mut results: peer::TableResults,
    ) -> Result<(), capnp::Error> {
        let records: Vec<_> = self
            .control
            .state
            .borrow()
            .table
            .present()
            .cloned()
            .collect();
        let packed = params
            .get()?
            .get_packs()
            .then(|| codec::pack_records(&records));
        let bytes = if let Some(packed) = packed.flatten() {
            results.get().set_packed_records(&packed);
            codec::byte_len(&packed)
        } else {
            let length = codec::list_len(&records);
            codec::write_records(&records, results.get().init_records(length))
        };
        self.control.context.metrics.control_sent("table", bytes);
        Ok(())
    }
}
