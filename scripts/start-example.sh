# Starts one of the two example deployments with 3 entries, 10 upstreams and 10 workers. To be
# sourced after deployment.sh, with DEPLOYMENT set to charqui or sabzrang.

case "$DEPLOYMENT" in
  charqui)
    DOMAINS=(maipu lujan godoy)
    REGION=cuyo SERVICE=orders CORES=32 MEMORY=128
    PLACES=(maipu:m1 maipu:m1 maipu:m1 maipu:m2 lujan:l1 lujan:l1 lujan:l1 godoy:g1 godoy:g1 godoy:g1)
    TOKENS=demo-secadero,demo-exporta,demo-tienda,demo-calidad
    ;;
  sabzrang)
    DOMAINS=(pk-south-a pk-south-b pk-south-c pk-south-d)
    REGION=pk-south SERVICE=registry CORES=64 MEMORY=256
    PLACES=(pk-south-a:a1 pk-south-a:a1 pk-south-a:a1 pk-south-b:b1 pk-south-b:b1 pk-south-b:b1
      pk-south-c:c1 pk-south-c:c1 pk-south-c:c1 pk-south-d:d1)
    TOKENS=demo-issuance,demo-transfer,demo-audit,demo-metering
    ;;
  *)
    echo "unknown deployment '$DEPLOYMENT'; expected charqui or sabzrang" >&2
    exit 2
    ;;
esac

ENTRIES=3
PEERS="$(entry_list "$ENTRIES" peer)"
start_platform
wait_for 10 curl -sf "http://127.0.0.1:$(port platform)/tables?since=0"
for i in 1 2 3; do start_entry "$i" "${DOMAINS[$((i - 1))]}"; done
for i in $(seq 1 10); do
  start_upstream "$i" "${DOMAINS[$((i % ${#DOMAINS[@]}))]}" "$SERVICE" "$PEERS"
  place="${PLACES[$((i - 1))]}"
  start_worker "$i" "${place%%:*}" "${place##*:}" "$REGION" "$PEERS" "$CORES" "$MEMORY"
done
wait_for 10 ctl status
ctl config apply "examples/$DEPLOYMENT.json"
for i in 1 2 3; do wait_for 10 ready "$i"; done
