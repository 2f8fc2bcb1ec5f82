# gnuplot -e "csv='FILE'; png='FILE'; workload='quote'" bench/policies.gp
set datafile separator ','
set terminal pngcairo size 1100,600
set output png
set title workload.": 95th percentile of program latency and wasted cache at the peak"
set style data histogram
set style fill solid 0.7
set ylabel "seconds"
set y2label "% of prompt tokens"
set y2tics
set yrange [0:*]
set y2range [0:100]
set xtics rotate by -20
plot "< grep ^".workload.",peak ".csv using 5:xtic(3) title "p95 (s)", \
     "" using 8 axes x1y2 title "wasted (%)"
